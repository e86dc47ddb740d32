import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { defaultLoadBalancerOptions } from '@hickoryhoist/gateway/common/loadBalancer.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import {
  type LoadExperimentOptions,
  type LoadExperimentResult,
  runLoadExperiment,
} from '../experiments/loadExperiment.js';

/** Maximum p99 latency of look-ups at 70 % load, including the callers' network time. */
const MAX_LOOK_UP_P99_MILLISECONDS = 18;
/** Minimum goodput at twice the capacity, relative to the goodput at capacity. */
const MIN_GOODPUT_RATIO = 0.9;
/** Retries and hedged requests that the retry budget allows, relative to all requests. */
const MAX_RETRY_RATIO = 0.1;

const scenarios: Readonly<Record<string, Omit<LoadExperimentOptions, 'load' | 'isIdempotent'>>> = {
  'servers with 2 slots': createScenario(1, 2),
  'servers with 4 slots': createScenario(2, 4),
};

function createScenario(seed: number, slots: number): Omit<LoadExperimentOptions, 'load' | 'isIdempotent'> {
  return {
    seed,
    gateways: 12,
    servers: 10,
    slots,
    queueLength: 2 * slots,
    serviceMilliseconds: 2,
    networkMilliseconds: 1,
    deadlineMilliseconds: 100,
    durationMilliseconds: 1_000,
    loadBalancer: defaultLoadBalancerOptions,
  };
}

async function run(options: LoadExperimentOptions): Promise<LoadExperimentResult> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] });
  try {
    return await runLoadExperiment(options, async (milliseconds) => {
      await clock.tickAsync(milliseconds);
    });
  } finally {
    clock.uninstall();
  }
}

describe('twelve entry VMs that share pooled servers of different speeds', () => {
  for (const [name, scenario] of Object.entries(scenarios)) {
    it(`answer look-ups within the latency target at 70 % load, ${name}`, async () => {
      const result = await run({ ...scenario, load: 0.7, isIdempotent: true });
      assert.ok(
        result.p99Milliseconds <= MAX_LOOK_UP_P99_MILLISECONDS,
        `p99 ${result.p99Milliseconds.toString()} ms`,
      );
    });

    it(`keep their goodput at twice the load, ${name}`, async () => {
      const atCapacity = await run({ ...scenario, load: 1, isIdempotent: true });
      const atTwiceCapacity = await run({ ...scenario, load: 2, isIdempotent: true });
      assert.ok(atTwiceCapacity.goodputPerSecond >= MIN_GOODPUT_RATIO * atCapacity.goodputPerSecond);
      assert.ok(atTwiceCapacity.executionsPerRequest <= 1 + MAX_RETRY_RATIO);
    });

    it(`never execute a non-idempotent request twice under overload, ${name}`, async () => {
      const result = await run({ ...scenario, load: 2, isIdempotent: false });
      assert.ok(result.executionsPerRequest <= 1);
    });
  }
});
