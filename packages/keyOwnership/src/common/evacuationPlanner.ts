import { LAST_KEY, type OwnedRange } from './keyAssignment.js';
import type { CandidateServer, KeyTraffic, PlannedMove } from './keyPlanner.js';
import { countKeysIn } from './sortedKeys.js';

/** Load that is spread over all keys regardless of the traffic, as a fraction of it: traffic is only a sample. */
const BACKGROUND_SHARE = 0.1;
/** A part is not cut if it exceeds the headroom of its receiver by less than this factor. */
const UNCUT_FACTOR = 1.15;
/** Steps of the search for the common utilisation. */
const SEARCH_STEPS = 40;

interface Receiver {
  readonly server: CandidateServer;
  /** Requests that the server can complete in the time over which the traffic was collected. */
  readonly capacity: number;
  /** Requests that the server may reach by receiving keys. */
  readonly maxLoad: number;
  load: number;
}

interface WeighedMove {
  readonly move: PlannedMove;
  readonly load: number;
}

/**
 * Plans where the keys of servers go that all leave at once. Load pattern: the servers of an availability zone, a third
 * of all, are evacuated under load. Each receiver gets as much as brings all to the same utilisation, so that the
 * keys are spread over all servers with headroom and none is flooded. Parts with the most requests come first.
 */
export function planEvacuation(
  ranges: readonly OwnedRange[],
  leavingIds: ReadonlySet<string>,
  servers: readonly CandidateServer[],
  traffic: KeyTraffic,
): readonly PlannedMove[] {
  const plan = new EvacuationPlan(ranges, leavingIds, servers, traffic);
  return plan
    .moves()
    .sort((left, right) => right.load - left.load)
    .map(({ move }) => move);
}

class EvacuationPlan {
  readonly #sortedKeys: readonly number[];
  readonly #backgroundPerKey: number;
  readonly #leaving: readonly OwnedRange[];
  readonly #receivers: readonly Receiver[];
  readonly #utilisation: number;

  constructor(
    ranges: readonly OwnedRange[],
    leavingIds: ReadonlySet<string>,
    servers: readonly CandidateServer[],
    { sortedKeys, seconds }: KeyTraffic,
  ) {
    this.#sortedKeys = sortedKeys;
    this.#backgroundPerKey = Math.max(1, BACKGROUND_SHARE * sortedKeys.length) / (LAST_KEY + 1);
    this.#leaving = ranges.filter(({ ownerId }) => leavingIds.has(ownerId));
    const loads = new Map<string, number>();
    for (const { ownerId, from, to } of ranges) {
      loads.set(ownerId, (loads.get(ownerId) ?? 0) + this.#loadOf(from, to));
    }
    this.#receivers = servers.map((server) => ({
      server,
      capacity: server.requestsPerSecond * seconds,
      maxLoad: (server.maxReceivedRequestsPerSecond ?? Number.POSITIVE_INFINITY) * seconds,
      load: loads.get(server.id) ?? 0,
    }));
    const leavingLoad = this.#leaving.reduce((sum, { from, to }) => sum + this.#loadOf(from, to), 0);
    this.#utilisation = this.#findUtilisation(leavingLoad);
  }

  moves(): WeighedMove[] {
    return this.#receivers.length === 0
      ? []
      : [...this.#leaving]
          .sort((left, right) => this.#loadOf(right.from, right.to) - this.#loadOf(left.from, left.to))
          .flatMap((range) => this.#movesOf(range));
  }

  #movesOf(range: OwnedRange): readonly WeighedMove[] {
    const moves: WeighedMove[] = [];
    let from = range.from;
    while (from <= range.to) {
      const receiver = this.#receiverWithMostHeadroom();
      const to = this.#endOfPart(from, range.to, this.#headroomOf(receiver));
      const load = this.#loadOf(from, to);
      receiver.load += load;
      moves.push({ move: { range, from, to, newOwnerId: receiver.server.id }, load });
      from = to + 1;
    }
    return moves;
  }

  /** The last key of the part that a receiver gets of the keys from `from` to `to`; at least one key. */
  #endOfPart(from: number, to: number, headroom: number): number {
    // Without headroom, cutting does not help: the traffic is concentrated on few keys.
    if (headroom <= 0 || this.#loadOf(from, to) <= headroom * UNCUT_FACTOR) {
      return to;
    }
    let low = from;
    let high = to;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.#loadOf(from, middle) <= headroom) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }

  #receiverWithMostHeadroom(): Receiver {
    return this.#receivers.reduce((best, receiver) =>
      this.#headroomOf(receiver) > this.#headroomOf(best) ? receiver : best,
    );
  }

  #headroomOf({ capacity, maxLoad, load }: Receiver): number {
    return Math.min(this.#utilisation * capacity, maxLoad) - load;
  }

  /** Utilisation that the receivers below it reach if they share a load. */
  #findUtilisation(load: number): number {
    const received = (utilisation: number): number =>
      this.#receivers.reduce(
        (sum, receiver) =>
          sum + Math.max(0, Math.min(utilisation * receiver.capacity, receiver.maxLoad) - receiver.load),
        0,
      );
    let low = 0;
    let high = 1;
    for (let step = 0; step < SEARCH_STEPS && received(high) < load; step += 1) {
      high *= 2;
    }
    for (let step = 0; step < SEARCH_STEPS; step += 1) {
      const middle = (low + high) / 2;
      if (received(middle) < load) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  #loadOf(from: number, to: number): number {
    return countKeysIn(this.#sortedKeys, from, to) + this.#backgroundPerKey * (to - from + 1);
  }
}
