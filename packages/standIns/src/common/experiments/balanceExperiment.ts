import type { AssignmentPlanner } from '@hickoryhoist/ownership/common/assignmentPlanner.js';
import type { Observations, ServerObservation } from '@hickoryhoist/ownership/common/observations.js';
import { type Assignment, ownerOfUnit, unitOfKey } from '@hickoryhoist/protocol/common/assignment.js';
import { type BalanceWorkload, serverAddress } from './balanceWorkload.js';

/** Time for which a key is without an owner in a planned hand-over, in seconds. */
const HAND_OVER_SECONDS = 0.11;
/** Time for which the keys of a lost server are without an owner, in seconds. */
const LOSS_SECONDS = 1.42;
const STEPS_PER_SECOND = 2;
const LOSS_FENCE = 1;

/** The three measures over one run. */
export interface BalanceResult {
  /** Mean over time of the busiest server's relative work, divided by the mean relative work. */
  readonly imbalance: number;
  /** Keys that changed owner, as a share of all keys. */
  readonly churn: number;
  /** Seconds for which keys could not be served, weighted by their work. */
  readonly unavailableSeconds: number;
}

/** Names the owner of a key, as a server's index. */
export type OwnerOf = (key: number) => number;

/** Something that places keys on servers second by second. */
export interface Placer {
  /** Takes note of the load and of the servers that serve now. */
  step(second: number): OwnerOf;
}

/** Runs a placer against a workload. */
export function runBalanceExperiment(workload: BalanceWorkload, placer: Placer): BalanceResult {
  const { seconds, servers } = workload.options;
  let imbalance = 0;
  let moved = 0;
  let unavailableSeconds = 0;
  let before: readonly number[] | undefined;
  for (let second = 0; second < seconds; second += 1) {
    workload.advanceTo(second);
    const ownerOf = placer.step(second);
    const owners = workload.keys.map((_key, index) => ownerOf(index));
    const works = new Array<number>(servers).fill(0);
    let total = 0;
    owners.forEach((owner, key) => {
      const work = workload.workOf(key);
      total += work;
      works[owner] = (works[owner] ?? 0) + work;
      const earlier = before?.[key];
      if (earlier !== undefined && earlier !== owner) {
        moved += 1;
        const isLoss = !workload.isServing(earlier, second);
        unavailableSeconds += work * (isLoss ? LOSS_SECONDS : HAND_OVER_SECONDS);
      }
    });
    const speed = Array.from({ length: servers }, (_unused, server) =>
      workload.isServing(server, second) ? workload.speedOf(server) : 0,
    ).reduce((sum, value) => sum + value, 0);
    const relative = works.map((work, server) => work / workload.speedOf(server));
    imbalance += Math.max(...relative) / (total / speed) / seconds;
    before = owners;
  }
  const totalWork = workload.keys.reduce((sum, _key, index) => sum + workload.workOf(index), 0);
  return {
    imbalance,
    churn: moved / workload.keys.length,
    unavailableSeconds: unavailableSeconds / totalWork,
  };
}

/** Places keys with the assigner's own planner. */
export class PlannerPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #planner: AssignmentPlanner;
  readonly #advance: (milliseconds: number) => void;
  #assignment: Assignment;

  constructor(
    workload: BalanceWorkload,
    planner: AssignmentPlanner,
    advance: (milliseconds: number) => void,
  ) {
    this.#workload = workload;
    this.#planner = planner;
    this.#advance = advance;
    const owners = new Array<number>(workload.options.sliceCount).fill(0);
    const fields = { group: 'experiment', revision: 0, term: 1, writeId: '' };
    this.#assignment = { ...fields, owners, servers: [], releases: [], pins: [] };
  }

  step(second: number): OwnerOf {
    for (let step = 0; step < STEPS_PER_SECOND; step += 1) {
      const draft = this.#planner.plan(this.#assignment, this.#observe(second));
      this.#assignment = draft.isChanged ? draft.build(1, '') : this.#assignment;
      this.#advance(1_000 / STEPS_PER_SECOND);
    }
    const assignment = this.#assignment;
    const indexes = new Map(
      assignment.servers.map(({ number, address }) => [number, Number(/(\d+):/.exec(address)?.[1])]),
    );
    return (key) => {
      const keyHash = this.#workload.keys[key]?.keyHash ?? '';
      return indexes.get(ownerOfUnit(assignment, unitOfKey(assignment, keyHash))) ?? 0;
    };
  }

  #observe(second: number): Observations {
    const addresses = Array.from({ length: this.#workload.options.servers }, (_unused, index) => index);
    const observations = addresses.map((server): [string, ServerObservation] => [
      serverAddress(server),
      this.#observeServer(server, second),
    ]);
    const wanted = addresses.map((server) => ({
      address: serverAddress(server),
      availabilityZone: 'a',
      isLeaving: false,
    }));
    const load = this.#workload.load(this.#assignment.pins);
    return {
      desiredServers: wanted,
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
      expiredFence: isServing ? 0 : (record?.renewerFence ?? LOSS_FENCE),
    };
  }
}
