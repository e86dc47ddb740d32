import { lowerBound } from '@hickoryhoist/base/common/sortedNumbers.js';
import { findUnownedRanges, LAST_KEY, type OwnedRange } from './keyAssignment.js';
import { keysIn } from './sortedKeys.js';

/** A server that can receive keys. */
export interface CandidateServer {
  readonly id: string;
  readonly incarnation: number;
  readonly address: string;
  /** Requests that the server completes per second with all of its slots busy. */
  readonly requestsPerSecond: number;
  /** Average time that it takes for a request, in milliseconds; undefined if it is not known. */
  readonly processingMilliseconds?: number | undefined;
  /** Requests per second up to which the server may be given keys while it is cold; undefined otherwise. */
  readonly maxReceivedRequestsPerSecond?: number | undefined;
}

/** Keys of recent requests. */
export interface KeyTraffic {
  /** One entry per request, in ascending order. */
  readonly sortedKeys: readonly number[];
  /** Time over which the keys were collected, in seconds. */
  readonly seconds: number;
}

/** Part of a range that is to be transferred to another server. */
export interface PlannedMove {
  readonly range: OwnedRange;
  readonly from: number;
  readonly to: number;
  readonly newOwnerId: string;
}

/** Utilisation above which keys are moved off a server. */
const HIGH_UTILISATION = 0.6;
/** Minimum ratio between the utilisations of the source and the receiver of a move. */
const MIN_UTILISATION_RATIO = 1.5;
/** Utilisation up to which a server receives keys, relative to the mean utilisation of all servers. */
const TARGET_UTILISATION_RATIO = 1.15;
/** Utilisation up to which a server receives keys however low the mean is. */
const MIN_TARGET_UTILISATION = 0.3;
/** Minimum excess of recent requests for a move; a smaller excess is within random variation. */
const MIN_EXCESS_REQUESTS = 6;
/** Minimum excess in standard deviations of the target number of requests. */
const MIN_EXCESS_STANDARD_DEVIATIONS = 2;
/** Minimum number of recent requests on the keys of a load move. */
const MIN_MOVED_REQUESTS = 2;
/** Ranges per server above which small ranges are moved to the owner of an adjacent range. */
const MERGE_ABOVE_RANGES_PER_SERVER = 3;
/** Maximum number of merge moves per round: requests on a range wait during its ownership transfer. */
const MAX_MERGE_MOVES = 1;
/** Largest range that is moved to merge it, as a fraction of a server's even share of all keys. */
const MAX_MERGED_SHARE = 0.25;
/** Fraction of the widest range that a server without keys receives. */
const FIRST_KEYS_SHARE = 0.5;

/** Fraction of its even share of all keys that a server receives when the keys of failed servers are reassigned. */
const MAX_RECEIVED_SHARE = 0.5;
/** Receivers beyond the number that MAX_RECEIVED_SHARE requires, so that several servers share the keys of one. */
const EXTRA_RECEIVERS = 2;

/**
 * Divides the unowned keys among servers. If there is no owned range yet, all servers take part in proportion to
 * their throughput. Otherwise only those with the largest deficits do, because dividing the keys among all servers
 * would leave many small ranges; later moves balance the load.
 */
export function planUnownedKeys(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
): readonly { from: number; to: number; owner: CandidateServer }[] {
  if (servers.length === 0) {
    return [];
  }
  const owned = new Map<string, number>();
  for (const { ownerId, from, to } of ranges) {
    owned.set(ownerId, (owned.get(ownerId) ?? 0) + to - from + 1);
  }
  const gaps = findUnownedRanges(ranges);
  const total = servers.reduce((sum, server) => sum + receivableRate(server), 0);
  const keys = gaps.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  const ownedByCandidates = servers.reduce((sum, { id }) => sum + (owned.get(id) ?? 0), 0);
  const deficits = servers.map((owner) => ({
    owner,
    deficit: Math.max(
      0,
      ((keys + ownedByCandidates) * receivableRate(owner)) / total - (owned.get(owner.id) ?? 0),
    ),
  }));
  if (ranges.length === 0) {
    return divideGaps(gaps, deficits);
  }
  const evenShare = (LAST_KEY + 1) / servers.length;
  const receivers =
    Math.max(gaps.length, Math.ceil(keys / (MAX_RECEIVED_SHARE * evenShare))) + EXTRA_RECEIVERS;
  return divideGaps(
    gaps,
    [...deficits].sort((left, right) => right.deficit - left.deficit).slice(0, receivers),
  );
}

function receivableRate({ requestsPerSecond, maxReceivedRequestsPerSecond }: CandidateServer): number {
  return Math.min(requestsPerSecond, maxReceivedRequestsPerSecond ?? Number.POSITIVE_INFINITY);
}

/** Divides gaps among servers in proportion to their deficits. */
function divideGaps(
  gaps: readonly { from: number; to: number }[],
  deficits: readonly { owner: CandidateServer; deficit: number }[],
): readonly { from: number; to: number; owner: CandidateServer }[] {
  const keys = gaps.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  const totalDeficit = deficits.reduce((sum, { deficit }) => sum + deficit, 0);
  const queue = [...deficits].sort((left, right) => right.deficit - left.deficit);
  const pieces: { from: number; to: number; owner: CandidateServer }[] = [];
  let index = 0;
  let left = quota(queue, index, keys, totalDeficit);
  for (const gap of gaps) {
    let from = gap.from;
    while (from <= gap.to) {
      const entry = queue[Math.min(index, queue.length - 1)];
      if (entry === undefined) {
        return pieces;
      }
      const isLast = index >= queue.length - 1;
      const to = isLast ? gap.to : Math.min(gap.to, from + left - 1);
      pieces.push({ from, to, owner: entry.owner });
      left -= to - from + 1;
      from = to + 1;
      if (left <= 0 && !isLast) {
        index += 1;
        left = quota(queue, index, keys, totalDeficit);
      }
    }
  }
  return pieces;
}

function quota(
  queue: readonly { deficit: number }[],
  index: number,
  keys: number,
  totalDeficit: number,
): number {
  const deficit = queue[index]?.deficit ?? 0;
  return Math.max(1, Math.round(totalDeficit > 0 ? (keys * deficit) / totalDeficit : keys / queue.length));
}

/**
 * Plans moves that balance the load. Servers without keys receive some, and overloaded servers pass parts of their
 * ranges to the servers with the most headroom. One server may pass parts to many others in the same round, since the
 * keys of a hot spot are adjacent and can exceed the capacity of two servers. When there are many ranges, small ones
 * are also moved to the owner of the adjacent range so that both can be merged.
 * @param maxMoves maximum number of moves for the load; each may add two ranges. Merge moves come on top.
 */
export function planMoves(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  traffic: KeyTraffic,
  maxMoves: number,
): readonly PlannedMove[] {
  const plan = new MovePlan(ranges, servers, traffic);
  return [
    ...collectMoves(maxMoves, () => plan.nextLoadMove()),
    ...collectMoves(MAX_MERGE_MOVES, () => plan.nextMergeMove()),
  ];
}

function collectMoves(limit: number, nextMove: () => PlannedMove | undefined): readonly PlannedMove[] {
  const moves: PlannedMove[] = [];
  while (moves.length < limit) {
    const move = nextMove();
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/** Part of a range with the keys of its recent requests. */
interface Piece {
  readonly range: OwnedRange;
  readonly from: number;
  readonly to: number;
  readonly keys: readonly number[];
}

/** Load of a server under the moves planned so far. */
interface CandidateLoad {
  readonly server: CandidateServer;
  /** Requests that the server can complete in the time over which the traffic was collected. */
  readonly capacity: number;
  /** Requests in that time up to which the server may be given keys. */
  readonly maxReceived: number;
  requests: number;
  pieces: Piece[];
  hasKeys: boolean;
}

/** Plans moves one by one; each takes the moves planned before it into account. */
class MovePlan {
  readonly #loads: CandidateLoad[];
  /** Utilisation up to which servers receive keys. */
  readonly #targetUtilisation: number;

  constructor(ranges: readonly OwnedRange[], servers: readonly CandidateServer[], traffic: KeyTraffic) {
    const loads = new Map(
      servers.map((server): [string, CandidateLoad] => [
        server.id,
        {
          server,
          capacity: server.requestsPerSecond * traffic.seconds,
          maxReceived: (server.maxReceivedRequestsPerSecond ?? Number.POSITIVE_INFINITY) * traffic.seconds,
          requests: 0,
          pieces: [],
          hasKeys: false,
        },
      ]),
    );
    for (const range of ranges) {
      const load = loads.get(range.ownerId);
      if (load !== undefined) {
        const keys = keysIn(traffic.sortedKeys, range.from, range.to);
        load.pieces.push({ range, from: range.from, to: range.to, keys });
        load.requests += keys.length;
        load.hasKeys = true;
      }
    }
    this.#loads = [...loads.values()];
    const capacity = this.#loads.reduce((sum, load) => sum + load.capacity, 0);
    const mean = capacity === 0 ? 0 : traffic.sortedKeys.length / capacity;
    this.#targetUtilisation = Math.max(MIN_TARGET_UTILISATION, TARGET_UTILISATION_RATIO * mean);
  }

  nextLoadMove(): PlannedMove | undefined {
    return this.#moveToServerWithoutKeys() ?? this.#moveFromOverloadedServer();
  }

  /** Plans to move a small range to the owner of the preceding range, so that both can be merged. */
  nextMergeMove(): PlannedMove | undefined {
    const pieces = this.#loads.flatMap((load) => load.pieces.map((piece) => ({ load, piece })));
    if (pieces.length <= MERGE_ABOVE_RANGES_PER_SERVER * this.#loads.length) {
      return undefined;
    }
    const byEnd = new Map(pieces.map((entry) => [entry.piece.to, entry.load]));
    const maxKeys = (MAX_MERGED_SHARE * (LAST_KEY + 1)) / this.#loads.length;
    const candidates = pieces
      .filter(({ load, piece }) => {
        const precedingOwner = byEnd.get(piece.from - 1);
        const isMergeable = precedingOwner !== undefined && precedingOwner !== load && load.pieces.length > 1;
        return (
          isMergeable &&
          widthOf(piece) <= maxKeys &&
          piece.keys.length <= Math.max(0, this.#headroomOf(precedingOwner))
        );
      })
      .sort((left, right) => left.piece.keys.length - right.piece.keys.length);
    const piece = candidates[0]?.piece;
    const receiver = piece === undefined ? undefined : byEnd.get(piece.from - 1);
    return piece === undefined || receiver === undefined
      ? undefined
      : this.#move(piece, piece.from, piece.to, receiver);
  }

  #moveToServerWithoutKeys(): PlannedMove | undefined {
    const empty = this.#loads.find(({ hasKeys }) => !hasKeys);
    if (empty === undefined) {
      return undefined;
    }
    const pieces = this.#loads.flatMap(({ pieces: own }) => own);
    if (Number.isFinite(empty.maxReceived)) {
      const part = findFirstKeys(pieces, empty.maxReceived);
      if (part === undefined) {
        // No part is small enough for a cold server; others without keys may still receive some.
        empty.hasKeys = true;
        return this.#moveToServerWithoutKeys();
      }
      return this.#move(part.piece, part.from, part.to, empty);
    }
    const widest = pieces.sort((left, right) => widthOf(right) - widthOf(left))[0];
    if (widest === undefined || widthOf(widest) < 2) {
      return undefined;
    }
    const from = widest.to - Math.floor(widthOf(widest) * FIRST_KEYS_SHARE) + 1;
    return this.#move(widest, from, widest.to, empty);
  }

  #moveFromOverloadedServer(): PlannedMove | undefined {
    const byHeadroom = [...this.#loads].sort(
      (left, right) => this.#headroomOf(right) - this.#headroomOf(left),
    );
    const receiver = byHeadroom[0];
    if (receiver === undefined) {
      return undefined;
    }
    const byUtilisation = [...this.#loads].sort((left, right) => utilisationOf(right) - utilisationOf(left));
    for (const source of byUtilisation) {
      const isOverloaded =
        utilisationOf(source) >= HIGH_UTILISATION &&
        utilisationOf(source) >= MIN_UTILISATION_RATIO * utilisationOf(receiver);
      const targetRequests = this.#targetUtilisation * source.capacity;
      const excess = source.requests - targetRequests;
      if (
        !isOverloaded ||
        excess < Math.max(MIN_EXCESS_REQUESTS, MIN_EXCESS_STANDARD_DEVIATIONS * Math.sqrt(targetRequests))
      ) {
        return undefined;
      }
      const part = findBestPart(source.pieces, Math.min(excess, this.#headroomOf(receiver)));
      if (part !== undefined) {
        return this.#move(part.piece, part.from, part.to, receiver);
      }
    }
    return undefined;
  }

  /** Requests that a server can still receive before it reaches the target utilisation. */
  #headroomOf({ capacity, maxReceived, requests }: CandidateLoad): number {
    return Math.min(this.#targetUtilisation * capacity, maxReceived) - requests;
  }

  #move(piece: Piece, from: number, to: number, receiver: CandidateLoad): PlannedMove {
    const source = this.#loads.find(({ pieces }) => pieces.includes(piece));
    const moved = keysIn(piece.keys, from, to).length;
    if (source !== undefined) {
      const rest = [cut(piece, piece.from, from - 1), cut(piece, to + 1, piece.to)];
      source.pieces = source.pieces.flatMap((other) =>
        other === piece ? rest.filter((part) => part.from <= part.to) : [other],
      );
      source.requests -= moved;
    }
    // The moved part is not added to the receiver's pieces, so it is not moved a second time in this round.
    receiver.requests += moved;
    receiver.hasKeys = true;
    return { range: piece.range, from, to, newOwnerId: receiver.server.id };
  }
}

function cut({ range, keys }: Piece, from: number, to: number): Piece {
  return { range, from, to, keys: keysIn(keys, from, to) };
}

/** Finds the part with the most requests that a cold server bears, and that leaves half of its range to the owner. */
function findFirstKeys(pieces: readonly Piece[], maxRequests: number): MovablePart | undefined {
  let best: MovablePart | undefined;
  for (const piece of pieces.filter(({ keys }) => keys.length >= 2 * MIN_MOVED_REQUESTS)) {
    const part = findBestPart([piece], Math.min(maxRequests, piece.keys.length * FIRST_KEYS_SHARE));
    if (part !== undefined && part.requests > (best?.requests ?? 0)) {
      best = part;
    }
  }
  return best;
}

function widthOf({ from, to }: Piece): number {
  return to - from + 1;
}

function utilisationOf({ requests, capacity }: CandidateLoad): number {
  return requests / capacity;
}

/** Part of a piece that may be moved. */
interface MovablePart {
  readonly piece: Piece;
  readonly from: number;
  readonly to: number;
  readonly requests: number;
}

/** Finds the part at either end of a piece with the most requests that does not exceed a maximum. */
function findBestPart(pieces: readonly Piece[], maxRequests: number): MovablePart | undefined {
  let best: MovablePart | undefined;
  for (const piece of pieces) {
    for (const part of [headOf(piece, maxRequests), tailOf(piece, maxRequests)]) {
      if (
        part !== undefined &&
        part.requests >= MIN_MOVED_REQUESTS &&
        part.requests > (best?.requests ?? 0)
      ) {
        best = part;
      }
    }
  }
  return best;
}

function headOf(piece: Piece, maxRequests: number): MovablePart | undefined {
  const end = piece.keys[Math.floor(maxRequests)];
  if (end === undefined) {
    return { piece, from: piece.from, to: piece.to, requests: piece.keys.length };
  }
  const requests = lowerBound(piece.keys, end);
  return end > piece.from ? { piece, from: piece.from, to: end - 1, requests } : undefined;
}

function tailOf(piece: Piece, maxRequests: number): MovablePart | undefined {
  const start = piece.keys[piece.keys.length - 1 - Math.floor(maxRequests)];
  if (start === undefined) {
    return undefined;
  }
  const requests = piece.keys.length - lowerBound(piece.keys, start + 1);
  return start < piece.to ? { piece, from: start + 1, to: piece.to, requests } : undefined;
}
