import FakeTimers from '@sinonjs/fake-timers';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { AssignmentPlanner } from '@hickoryhoist/ownership/common/assignmentPlanner.js';
import { balanceOptionsFor } from '@hickoryhoist/ownership/common/balanceWeights.js';
import { LoadBalancePolicy } from '@hickoryhoist/ownership/common/loadBalancePolicy.js';
import {
  type BalanceResult,
  PlannerPlacer,
  type Placer,
  runBalanceExperiment,
} from '../common/experiments/balanceExperiment.js';
import { BalanceWorkload } from '../common/experiments/balanceWorkload.js';
import { BoundedRendezvousPlacer, HashRingPlacer } from '../common/experiments/baselinePlacers.js';

const SEEDS: readonly number[] = [1, 2];
const SECONDS = 480;
const serverCounts = { 'catalogue, 17 servers': 17, 'availability board, 20 servers': 20 } as const;
const weightProfiles = {
  Bibliobus: { imbalance: 1, churn: 1, unavailableTime: 3 },
  Etxeberria: { imbalance: 3, churn: 1, unavailableTime: 1 },
} as const;

const hasher = await KeyHasher.create();
const clock = FakeTimers.install({ toFake: ['performance'] });

function createPlannerPlacer(
  workload: BalanceWorkload,
  weights: (typeof weightProfiles)[keyof typeof weightProfiles],
): Placer {
  const planner = new AssignmentPlanner(hasher, new LoadBalancePolicy(balanceOptionsFor(weights)));
  return new PlannerPlacer(workload, planner, (milliseconds) => {
    clock.tick(milliseconds);
  });
}

const placers: Readonly<Record<string, (workload: BalanceWorkload) => Placer>> = {
  'hash ring': (workload) => new HashRingPlacer(workload, hasher),
  'bounded rendezvous': (workload) => new BoundedRendezvousPlacer(workload, hasher),
  'load balance, weights of Bibliobus': (workload) => createPlannerPlacer(workload, weightProfiles.Bibliobus),
  'load balance, weights of Etxeberria': (workload) =>
    createPlannerPlacer(workload, weightProfiles.Etxeberria),
};

for (const [scenario, servers] of Object.entries(serverCounts)) {
  process.stdout.write(`${scenario}, seeds ${SEEDS.join(', ')}, ${SECONDS.toString()} s\n`);
  for (const [name, create] of Object.entries(placers)) {
    const results: BalanceResult[] = [];
    for (const seed of SEEDS) {
      const options = { seed, servers, sliceCount: 1_024, keys: 10_000, seconds: SECONDS };
      const workload = await BalanceWorkload.create(options);
      results.push(runBalanceExperiment(workload, create(workload)));
    }
    const mean = (pick: (result: BalanceResult) => number): string =>
      (results.reduce((sum, result) => sum + pick(result), 0) / results.length).toFixed(3);
    process.stdout.write(
      `  ${name}: imbalance ${mean(({ imbalance }) => imbalance)}, churn ${mean(({ churn }) => churn)} of all keys, ` +
        `unavailable ${mean(({ unavailableSeconds }) => unavailableSeconds)} s per key by work\n`,
    );
  }
}
