import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { IdempotencyLedger } from '@hickoryhoist/gateway/common/idempotencyLedger.js';
import { AssignmentPlanner } from '@hickoryhoist/ownership/common/assignmentPlanner.js';
import { LeaseRenewer } from '@hickoryhoist/ownership/common/leaseRenewer.js';
import { LoadBalancePolicy } from '@hickoryhoist/ownership/common/loadBalancePolicy.js';
import { emptyLoad } from '@hickoryhoist/ownership/common/loadAggregation.js';
import type { Observations, ServerObservation } from '@hickoryhoist/ownership/common/observations.js';
import { HttpServerClient } from '@hickoryhoist/ownership/node/httpServerClient.js';
import type { Assignment } from '@hickoryhoist/protocol/common/assignment.js';
import { applyDelta, diffAssignments } from '@hickoryhoist/protocol/common/assignmentDelta.js';
import type { Point } from '../../common/capacity/linearFit.js';
import { sampleAssignment, sampleEntryVm, withMovedSlices } from '../../common/capacity/messageSizes.js';
import type { ProcessRig } from '../processRig.js';
import { measureMicrosecondsPerRun, measureProcessorMilliseconds } from './processorTime.js';

const PLANNER_RUNS = 200;
const DELTA_RUNS = 300;
const RENEWAL_SECONDS = 6;
const LEDGER_OUTCOME = { kind: 'answered', status: 200, headers: {}, body: Buffer.alloc(200) } as const;

/** CPU time of one planning step by number of servers, in microseconds. */
export async function plannerCosts(slices: number, sizes: readonly number[]): Promise<readonly Point[]> {
  const planner = new AssignmentPlanner(await KeyHasher.create(), new LoadBalancePolicy());
  return sizes.map((size) => {
    const assignment = sampleAssignment(size, slices);
    const observations = idleObservations(assignment);
    const cost = measureMicrosecondsPerRun(PLANNER_RUNS, () => {
      planner.plan(assignment, observations);
    });
    return { size, cost };
  });
}

/** CPU time to apply a delta of eight moves by number of slices, in microseconds. */
export function deltaCosts(servers: number, sizes: readonly number[]): readonly Point[] {
  return sizes.map((size) => {
    const assignment = sampleAssignment(servers, size);
    const delta = diffAssignments(assignment, withMovedSlices(assignment, 8));
    const cost = measureMicrosecondsPerRun(DELTA_RUNS, () => {
      applyDelta(assignment, delta);
    });
    return { size, cost };
  });
}

/** CPU time of lease renewals over HTTP by number of servers, in milliseconds per second. */
export async function renewalCosts(rig: ProcessRig, sizes: readonly number[]): Promise<readonly Point[]> {
  const server = await rig.startServer({}, undefined, '0.0.0.0');
  const port = server.address.slice(server.address.indexOf(':'));
  const points: Point[] = [];
  for (const size of sizes) {
    const agent = new Agent();
    const self = sampleEntryVm(1);
    const renewer = new LeaseRenewer(self, new HttpServerClient(agent), silentLogger);
    const assignment = sampleAssignment(size, size);
    const servers = assignment.servers.map((record, index) => ({
      ...record,
      address: `127.0.${Math.floor(index / 250).toString()}.${((index % 250) + 1).toString()}${port}`,
      renewers: [self],
    }));
    renewer.applyAssignment({ ...assignment, servers });
    await wait(1_000);
    const cost = await measureProcessorMilliseconds(() => wait(RENEWAL_SECONDS * 1_000));
    points.push({ size, cost: cost / RENEWAL_SECONDS });
    renewer.dispose();
    await agent.destroy();
  }
  return points;
}

/** Memory of an idempotency ledger by number of entries, in kilobytes. */
export function ledgerHeap(sizes: readonly number[]): Promise<readonly Point[]> {
  return measureSequentially(sizes, async (size) => {
    const before = heapAfterCollection();
    const ledger = new IdempotencyLedger();
    for (let entry = 0; entry < size; entry += 1) {
      const request = {
        idempotencyKey: `booking-${entry.toString()}`,
        method: 'POST',
        target: '/',
        body: Buffer.alloc(0),
      };
      await ledger.run(request, undefined, () =>
        Promise.resolve({ ...LEDGER_OUTCOME, body: Buffer.alloc(200) }),
      );
    }
    const cost = (heapAfterCollection() - before) / 1_024;
    return ledger.size === size ? cost : Number.NaN;
  });
}

/** Memory of an assignment by number of slices, in kilobytes. */
export function assignmentHeap(servers: number, sizes: readonly number[]): Promise<readonly Point[]> {
  return measureSequentially(sizes, (size) => {
    const before = heapAfterCollection();
    const assignment = structuredClone(sampleAssignment(servers, size));
    const cost = (heapAfterCollection() - before) / 1_024;
    return Promise.resolve(assignment.owners.length === size ? cost : Number.NaN);
  });
}

async function measureSequentially(
  sizes: readonly number[],
  measure: (size: number) => Promise<number>,
): Promise<readonly Point[]> {
  const points: Point[] = [];
  for (const size of sizes) {
    points.push({ size, cost: await measure(size) });
  }
  return points;
}

function heapAfterCollection(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function idleObservations(assignment: Assignment): Observations {
  const observed = assignment.servers.map((server): [string, ServerObservation] => [
    server.address,
    {
      address: server.address,
      incarnation: server.incarnation,
      fenceSupport: 'checked',
      isLeaving: false,
      isReachable: true,
      isSuspected: false,
      acknowledgedRevision: assignment.revision,
      drainingKeys: [],
      adoptedRenewerFence: server.renewerFence,
      revokingFence: 0,
      expiredFence: 0,
    },
  ]);
  const desiredServers = assignment.servers.map(({ address, availabilityZone }) => ({
    address,
    availabilityZone,
    isLeaving: false,
  }));
  const renewers = assignment.servers[0]?.renewers ?? [];
  const members = renewers.map((entryVm) => ({ entryVm, isLeaving: false }));
  return {
    desiredServers,
    servers: new Map(observed),
    members,
    assignerId: '',
    load: emptyLoad,
    isStartupComplete: true,
  };
}
