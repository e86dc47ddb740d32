import FakeTimers from '@sinonjs/fake-timers';
import { type LoadExperimentOptions, runLoadExperiment } from '../common/experiments/loadExperiment.js';
import { loadPolicies } from '../common/experiments/loadPolicies.js';

const scenarios: Readonly<Record<string, Omit<LoadExperimentOptions, 'load' | 'loadBalancer'>>> = {
  circulation: {
    seed: 1,
    gateways: 12,
    servers: 10,
    slots: 2,
    queueLength: 4,
    serviceMilliseconds: 2,
    networkMilliseconds: 1,
    deadlineMilliseconds: 100,
    durationMilliseconds: 1_500,
    isIdempotent: true,
  },
  'reservation ledger': {
    seed: 2,
    gateways: 12,
    servers: 10,
    slots: 4,
    queueLength: 8,
    serviceMilliseconds: 2,
    networkMilliseconds: 1,
    deadlineMilliseconds: 100,
    durationMilliseconds: 1_500,
    isIdempotent: true,
  },
};

const LOADS: readonly number[] = [0.7, 1, 2];

for (const [scenario, options] of Object.entries(scenarios)) {
  process.stdout.write(
    `${scenario}: seed ${options.seed.toString()}, ${options.gateways.toString()} gateways\n`,
  );
  for (const [policy, loadBalancer] of Object.entries(loadPolicies)) {
    const cells: string[] = [];
    for (const load of LOADS) {
      const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] });
      const result = await runLoadExperiment({ ...options, load, loadBalancer }, async (milliseconds) => {
        await clock.tickAsync(milliseconds);
      });
      clock.uninstall();
      const share = ((100 * result.goodputPerSecond) / result.capacityPerSecond).toFixed(1);
      cells.push(
        `load ${load.toString()}: goodput ${share} %, p50 ${result.p50Milliseconds.toFixed(1)} ms, ` +
          `p99 ${result.p99Milliseconds.toFixed(1)} ms, run ${result.executionsPerRequest.toFixed(3)} times`,
      );
    }
    process.stdout.write(`  ${policy}\n    ${cells.join('\n    ')}\n`);
  }
}
