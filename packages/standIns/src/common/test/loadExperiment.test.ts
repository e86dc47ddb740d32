import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { defaultLoadBalancerOptions } from '@hickoryhoist/gateway/common/loadBalancer.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import {
  type LoadExperimentOptions,
  type LoadExperimentResult,
  runLoadExperiment,
} from '../experiments/loadExperiment.js';

/** Target: 99 of 100 look-ups are answered within this time at 70 % load, the callers' network included. */
const LOOK_UP_MILLISECONDS = 18;
/** Target: share of the goodput at capacity that remains at twice the load. */
const REMAINING_GOODPUT = 0.9;
/** Retries and hedges that the budget allows, as a share of the requests. */
const RETRY_SHARE = 0.1;

const shapes: Readonly<Record<string, Omit<LoadExperimentOptions, 'load' | 'isIdempotent'>>> = {
  'servers with 2 slots': shapeOf(1, 2),
  'servers with 4 slots': shapeOf(2, 4),
};

function shapeOf(seed: number, slots: number): Omit<LoadExperimentOptions, 'load' | 'isIdempotent'> {
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
    directory: defaultLoadBalancerOptions,
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

describe('twelve entry VMs that share pooled servers of unequal speed', () => {
  for (const [name, shape] of Object.entries(shapes)) {
    it(`answer look-ups in time at 70 % load, ${name}`, async () => {
      const result = await run({ ...shape, load: 0.7, isIdempotent: true });
      assert.ok(
        result.p99Milliseconds <= LOOK_UP_MILLISECONDS,
        `p99 ${result.p99Milliseconds.toString()} ms`,
      );
    });

    it(`keep their goodput at twice the load, ${name}`, async () => {
      const atCapacity = await run({ ...shape, load: 1, isIdempotent: true });
      const atTwice = await run({ ...shape, load: 2, isIdempotent: true });
      assert.ok(atTwice.goodputPerSecond >= REMAINING_GOODPUT * atCapacity.goodputPerSecond);
      assert.ok(atTwice.executionsPerRequest <= 1 + RETRY_SHARE);
    });

    it(`never run a checkout twice under overload, ${name}`, async () => {
      const result = await run({ ...shape, load: 2, isIdempotent: false });
      assert.ok(result.executionsPerRequest <= 1);
    });
  }
});
