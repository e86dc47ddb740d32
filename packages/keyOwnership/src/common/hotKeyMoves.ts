import { findRange, type OwnedRange } from './keyAssignment.js';
import type { CandidateServer, KeyTraffic, PlannedMove } from './keyPlanner.js';
import { countKeysIn } from './sortedKeys.js';
import { trustedThroughputs } from './trustedThroughputs.js';

/** The move of a hot key to a faster server, with the estimates behind it. */
export interface HotKeyMove extends PlannedMove {
  /** Requests a second for the key. */
  readonly demand: number;
  /** Requests that are expected to be served beyond those that the owner would serve in the rest of the surge. */
  readonly gain: number;
}

/** Excess over the capacity of the owner, in standard deviations, from which a key is hot. */
const MIN_EXCESS_STANDARD_DEVIATIONS = 2;
/** A surge is expected to last as long as it has lasted, and at least this time, in seconds. */
const MIN_EXPECTED_REST_SECONDS = 4;
/** Time that the commands and the write of an ownership transfer take, in seconds. */
const TRANSFER_SECONDS = 0.1;
/** Longest remaining time of the requests in flight at an owner, which ends them before it releases a key, in average times. */
const LONGEST_IN_FLIGHT = 2.5;
/** Average time of a request that is assumed if it is not known, in milliseconds. */
const DEFAULT_PROCESSING_MILLISECONDS = 100;
/** Work that the new owner loses on the first requests for a key that is new to it, in seconds at full throughput. */
const FIRST_REQUESTS_SECONDS = 0.25;
/** Time until the other keys of an overloaded server have other owners, in seconds. */
const MOVE_AWAY_SECONDS = 1;
/** Utilisation up to which servers take the other keys. */
const MAX_UTILISATION = 0.9;
/** Minimum gain in relation to what the present owner would serve, and in requests. */
const MIN_GAIN_SHARE = 0.1;
const MIN_GAIN_REQUESTS = 6;
/** A key that was not hot for this time begins another surge, in milliseconds. */
const SURGE_END_MILLISECONDS = 3_000;

interface Surge {
  readonly since: number;
  lastHotAt: number;
  hasMoved: boolean;
}

interface HotKey {
  readonly key: number;
  readonly range: OwnedRange;
  readonly demand: number;
}

/** A server with the requests a second for all of its keys. */
interface ServerLoad {
  readonly id: string;
  /** Requests a second that the server completes, as far as the estimate is trusted. */
  readonly throughput: number;
  readonly processingSeconds: number;
  readonly isCold: boolean;
  readonly demand: number;
  readonly hasHotKey: boolean;
}

/**
 * Moves a key whose requests exceed the throughput of its owner to a faster server.
 *
 * Load pattern: one key gets many times the requests that its owner serves, for some seconds, while servers differ in
 * speed. A key cannot be divided, so its callers gain only from a faster server. The key is moved once in a surge, as soon
 * as the demand is beyond doubt, if the faster server makes up for the transfer.
 */
export class HotKeyMoves {
  readonly #surges = new Map<number, Surge>();

  /**
   * @param traffic requests, served or refused, from which the load of servers is estimated.
   * @param newest the newest of them, from which hot keys are found early.
   * @returns the moves that should start now, the hottest key first.
   */
  nextMoves(
    now: number,
    ranges: readonly OwnedRange[],
    servers: readonly CandidateServer[],
    traffic: KeyTraffic,
    newest: KeyTraffic,
  ): readonly HotKeyMove[] {
    const hotKeys = findHotKeys(ranges, servers, newest);
    this.#updateSurges(hotKeys, now);
    const waiting = hotKeys.filter(({ key }) => this.#surges.get(key)?.hasMoved === false);
    if (waiting.length === 0) {
      return [];
    }
    let loads = loadsOf(ranges, servers, traffic, hotKeys);
    const moves: HotKeyMove[] = [];
    for (const hotKey of waiting) {
      const elapsedSeconds = (now - (this.#surges.get(hotKey.key)?.since ?? now)) / 1_000;
      const move = planMove(hotKey, loads, Math.max(MIN_EXPECTED_REST_SECONDS, elapsedSeconds));
      if (move !== undefined) {
        moves.push(move);
        loads = loads.map((load) => (load.id === move.newOwnerId ? { ...load, hasHotKey: true } : load));
      }
    }
    return moves;
  }

  /** Notes that a move has started: its key is not moved again in the same surge. */
  recordStart({ from }: HotKeyMove): void {
    const surge = this.#surges.get(from);
    if (surge !== undefined) {
      surge.hasMoved = true;
    }
  }

  #updateSurges(hotKeys: readonly HotKey[], now: number): void {
    for (const { key } of hotKeys) {
      const surge = this.#surges.get(key);
      if (surge === undefined) {
        this.#surges.set(key, { since: now, lastHotAt: now, hasMoved: false });
      } else {
        surge.lastHotAt = now;
      }
    }
    for (const [key, { lastHotAt }] of this.#surges) {
      if (now - lastHotAt > SURGE_END_MILLISECONDS) {
        this.#surges.delete(key);
      }
    }
  }
}

/** Keys whose own requests exceed the throughput of their owners, the hottest first. */
function findHotKeys(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  { sortedKeys, seconds }: KeyTraffic,
): readonly HotKey[] {
  const throughputs = new Map(servers.map(({ id, requestsPerSecond }) => [id, requestsPerSecond]));
  const hotKeys: HotKey[] = [];
  for (let start = 0, end = 0; start < sortedKeys.length; start = end) {
    const key = sortedKeys[start] ?? 0;
    while (sortedKeys[end] === key) {
      end += 1;
    }
    const range = findRange(ranges, key);
    const capacity = seconds * (throughputs.get(range?.ownerId ?? '') ?? Number.POSITIVE_INFINITY);
    if (
      range !== undefined &&
      end - start > capacity + MIN_EXCESS_STANDARD_DEVIATIONS * Math.sqrt(capacity)
    ) {
      hotKeys.push({ key, range, demand: (end - start) / seconds });
    }
  }
  return hotKeys.sort((left, right) => right.demand - left.demand);
}

function loadsOf(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  { sortedKeys, seconds }: KeyTraffic,
  hotKeys: readonly HotKey[],
): readonly ServerLoad[] {
  const demands = new Map<string, number>();
  for (const { ownerId, from, to } of ranges) {
    demands.set(ownerId, (demands.get(ownerId) ?? 0) + countKeysIn(sortedKeys, from, to) / seconds);
  }
  for (const { key, range } of hotKeys) {
    const demand = countKeysIn(sortedKeys, key, key) / seconds;
    demands.set(range.ownerId, (demands.get(range.ownerId) ?? 0) - demand);
  }
  const hotOwners = new Set(hotKeys.map(({ range }) => range.ownerId));
  const throughputs = trustedThroughputs(servers);
  return servers.map(({ id, requestsPerSecond, processingMilliseconds, maxReceivedRequestsPerSecond }) => ({
    id,
    processingSeconds: (processingMilliseconds ?? DEFAULT_PROCESSING_MILLISECONDS) / 1_000,
    throughput: throughputs.get(id) ?? requestsPerSecond,
    isCold: maxReceivedRequestsPerSecond !== undefined,
    demand: demands.get(id) ?? 0,
    hasHotKey: hotOwners.has(id),
  }));
}

function planMove(
  { key, range, demand }: HotKey,
  loads: readonly ServerLoad[],
  restSeconds: number,
): HotKeyMove | undefined {
  const owner = loads.find(({ id }) => id === range.ownerId);
  if (owner === undefined) {
    return undefined;
  }
  const room = loads.reduce((sum, load) => sum + (load.hasHotKey ? 0 : roomOf(load)), 0);
  const servedByOwner = expectedServed(owner, demand, restSeconds, room);
  const transferSeconds = TRANSFER_SECONDS + LONGEST_IN_FLIGHT * owner.processingSeconds;
  const servedSeconds = restSeconds - transferSeconds - FIRST_REQUESTS_SECONDS;
  const minGain = Math.max(MIN_GAIN_SHARE * servedByOwner, MIN_GAIN_REQUESTS);
  let best: HotKeyMove | undefined;
  for (const load of loads) {
    if (load.hasHotKey || load.isCold) {
      continue;
    }
    const served = expectedServed(load, demand, servedSeconds, room - roomOf(load) + roomOf(owner));
    const gain = served - servedByOwner;
    if (gain > (best?.gain ?? minGain)) {
      best = { range, from: key, to: key, newOwnerId: load.id, demand, gain };
    }
  }
  return best;
}

/** Requests a second that a server without a hot key can take over from others. */
function roomOf({ throughput, demand }: ServerLoad): number {
  return Math.max(0, MAX_UTILISATION * throughput - demand);
}

/** Requests for a hot key that its owner serves once others have taken over its other keys, as far as they have room. */
function expectedServed(owner: ServerLoad, demand: number, seconds: number, roomElsewhere: number): number {
  const { throughput } = owner;
  const kept = Math.max(0, owner.demand - roomElsewhere);
  const servedPerSecond = Math.min(demand, Math.max(0, throughput - kept));
  return servedPerSecond * seconds - Math.min(owner.demand - kept, throughput) * MOVE_AWAY_SECONDS;
}
