import type { AssignmentPlanner } from '@hickoryhoist/ownership/common/assignmentPlanner.js';
import type { Observations, ServerObservation } from '@hickoryhoist/ownership/common/observations.js';
import { type Assignment, ownerOfUnit, unitOfKey } from '@hickoryhoist/protocol/common/assignment.js';
import { type BalanceWorkload, serverAddress } from './balanceWorkload.js';

/** Time for which a key has no owner during a planned ownership transfer, in seconds. */
const OWNERSHIP_TRANSFER_SECONDS = 0.11;
/** Time for which the keys of a failed server have no owner, in seconds. */
const FAILOVER_SECONDS = 1.42;
const STEPS_PER_SECOND = 2;
const FIRST_RENEWER_FENCE = 1;

/** Metrics of one run. */
export interface BalanceResult {
  /** Utilisation of the busiest server divided by the mean utilisation, averaged over time. */
  readonly imbalance: number;
  /** Number of owner changes of keys, divided by the number of keys. */
  readonly churn: number;
  /** Mean total time for which a key had no owner, weighted by the work of the keys, in seconds. */
  readonly unavailableSeconds: number;
}

/** Maps the index of a key to the index of the server that owns it. */
export type OwnerLookup = (key: number) => number;

/** Strategy that assigns keys to servers, stepped once per simulated second. */
export interface Placer {
  /** Updates the assignment to the current load and the servers that serve in this second. */
  step(second: number): OwnerLookup;
}

/** Simulates a workload with a placement strategy and measures the result. */
export function runBalanceExperiment(workload: BalanceWorkload, placer: Placer): BalanceResult {
  const { seconds, servers } = workload.options;
  let imbalance = 0;
  let movedKeys = 0;
  let unavailableSeconds = 0;
  let previousOwners: readonly number[] | undefined;
  for (let second = 0; second < seconds; second += 1) {
    workload.advanceTo(second);
    const ownerOf = placer.step(second);
    const owners = workload.keys.map((_key, index) => ownerOf(index));
    const workByServer = new Array<number>(servers).fill(0);
    let totalWorkPerSecond = 0;
    owners.forEach((owner, key) => {
      const work = workload.workOf(key);
      totalWorkPerSecond += work;
      workByServer[owner] = (workByServer[owner] ?? 0) + work;
      const previousOwner = previousOwners?.[key];
      if (previousOwner !== undefined && previousOwner !== owner) {
        movedKeys += 1;
        const hasFailed = !workload.isServing(previousOwner, second);
        unavailableSeconds += work * (hasFailed ? FAILOVER_SECONDS : OWNERSHIP_TRANSFER_SECONDS);
      }
    });
    const totalSpeed = Array.from({ length: servers }, (_unused, server) =>
      workload.isServing(server, second) ? workload.speedOf(server) : 0,
    ).reduce((sum, value) => sum + value, 0);
    const relativeWork = workByServer.map((work, server) => work / workload.speedOf(server));
    imbalance += Math.max(...relativeWork) / (totalWorkPerSecond / totalSpeed) / seconds;
    previousOwners = owners;
  }
  const totalWork = workload.keys.reduce((sum, _key, index) => sum + workload.workOf(index), 0);
  return {
    imbalance,
    churn: movedKeys / workload.keys.length,
    unavailableSeconds: unavailableSeconds / totalWork,
  };
}

/** Places keys with the planner that the assigner uses in production. */
export class PlannerPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #planner: AssignmentPlanner;
  readonly #advanceClock: (milliseconds: number) => void;
  #assignment: Assignment;

  constructor(
    workload: BalanceWorkload,
    planner: AssignmentPlanner,
    advance: (milliseconds: number) => void,
  ) {
    this.#workload = workload;
    this.#planner = planner;
    this.#advanceClock = advance;
    const owners = new Array<number>(workload.options.sliceCount).fill(0);
    const fields = { group: 'experiment', revision: 0, term: 1, writeId: '' };
    this.#assignment = { ...fields, owners, servers: [], releases: [], pins: [] };
  }

  step(second: number): OwnerLookup {
    for (let step = 0; step < STEPS_PER_SECOND; step += 1) {
      const draft = this.#planner.plan(this.#assignment, this.#observe(second));
      this.#assignment = draft.isChanged ? draft.build(1, '') : this.#assignment;
      this.#advanceClock(1_000 / STEPS_PER_SECOND);
    }
    const assignment = this.#assignment;
    const indexByNumber = new Map(
      assignment.servers.map(({ number, address }) => [number, Number(/(\d+):/.exec(address)?.[1])]),
    );
    return (key) => {
      const keyHash = this.#workload.keys[key]?.keyHash ?? '';
      return indexByNumber.get(ownerOfUnit(assignment, unitOfKey(assignment, keyHash))) ?? 0;
    };
  }

  #observe(second: number): Observations {
    const serverIndexes = Array.from({ length: this.#workload.options.servers }, (_unused, index) => index);
    const observations = serverIndexes.map((server): [string, ServerObservation] => [
      serverAddress(server),
      this.#observeServer(server, second),
    ]);
    const desiredServers = serverIndexes.map((server) => ({
      address: serverAddress(server),
      availabilityZone: 'a',
      isLeaving: false,
    }));
    const load = this.#workload.load(this.#assignment.pins);
    return {
      desiredServers,
      servers: new Map(observations),
      members: [],
      assignerId: '',
      load,
      isStartupComplete: true,
    };
  }

  #observeServer(server: number, second: number): ServerObservation {
    const address = serverAddress(server);
    const record = this.#assignment.servers.find((other) => other.address === address);
    const isServing = this.#workload.isServing(server, second);
    return {
      address,
      incarnation: 'experiment',
      fenceSupport: 'checked',
      isLeaving: false,
      isReachable: isServing,
      isSuspected: !isServing,
      acknowledgedRevision: isServing ? this.#assignment.revision : 0,
      drainingKeys: [],
      adoptedRenewerFence: 0,
      revokingFence: 0,
      expiredFence: isServing ? 0 : (record?.renewerFence ?? FIRST_RENEWER_FENCE),
    };
  }
}
