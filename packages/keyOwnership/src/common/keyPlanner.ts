import { gapsOf, LAST_KEY, type OwnedRange } from './keyAssignment.js';

/** A server that keys may be given to. */
export interface CandidateServer {
  readonly id: string;
  readonly incarnation: number;
  readonly address: string;
  /** Requests that the server finishes in a second when all of its slots are busy. */
  readonly requestsPerSecond: number;
}

/** Recent requests on keys, as a sorted list with one entry for each request. */
export interface KeyTraffic {
  readonly sortedKeys: readonly number[];
  /** Time over which the keys were collected, in seconds. */
  readonly seconds: number;
}

/** Part of a range that shall go to another server. */
export interface PlannedMove {
  readonly range: OwnedRange;
  readonly from: number;
  readonly to: number;
  readonly newOwnerId: string;
}

/** Utilisation above which a server gives keys away. */
const HIGH_UTILISATION = 0.6;
/** How much busier than the receiver a server must be. */
const LEAST_RATIO = 1.5;
/** Utilisation, relative to that of all servers together, up to which a server is given keys. */
const TARGET_RATIO = 1.15;
/** Utilisation up to which any server is given keys. */
const LOW_UTILISATION = 0.3;
/** Least number of recent requests that a server must have too many; fewer are chance. */
const LEAST_EXCESS = 6;
/** The same in standard deviations of the number of requests that a server should have. */
const SIGNIFICANCE = 2;
/** Least number of recent requests that a move must shift. */
const LEAST_REQUESTS = 2;
/** Ranges for each server above which small ranges without load go to the owners of their neighbours. */
const MANY_RANGES = 3;
/** Small ranges that go to a neighbour's owner in one round at most: each hand-over stops requests for a while. */
const MOST_REUNIONS = 1;
/** Largest range that goes to a neighbour's owner, as a part of a server's even share of all keys. */
const SMALL_SHARE = 0.25;
/** Share of keys that a move without load may take, to give a server without keys its first ones. */
const FIRST_SHARE = 0.5;

/** Part of a server's even share of keys that each of the others is given when servers are lost. */
const RECEIVED_SHARE = 0.5;
/** Servers that keys without an owner go to beyond those, so that one lost server's keys go to a few. */
const MORE_RECEIVERS = 2;

/**
 * Splits all keys that have no owner among servers: at first among all, in proportion to their speed; later among the
 * few that lack keys most, since ranges cut small stay many, and the load is evened out by moves.
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
  const gaps = gapsOf(ranges);
  const total = servers.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
  const keys = gaps.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  const ownedBySet = servers.reduce((sum, { id }) => sum + (owned.get(id) ?? 0), 0);
  const lacks = servers.map((owner) => ({
    owner,
    lack: Math.max(0, ((keys + ownedBySet) * owner.requestsPerSecond) / total - (owned.get(owner.id) ?? 0)),
  }));
  if (ranges.length === 0) {
    return divide(gaps, lacks);
  }
  const evenShare = (LAST_KEY + 1) / servers.length;
  const receivers = Math.max(gaps.length, Math.ceil(keys / (RECEIVED_SHARE * evenShare))) + MORE_RECEIVERS;
  return divide(gaps, [...lacks].sort((left, right) => right.lack - left.lack).slice(0, receivers));
}

/** Cuts gaps into pieces in proportion to what each server lacks. */
function divide(
  gaps: readonly { from: number; to: number }[],
  lacks: readonly { owner: CandidateServer; lack: number }[],
): readonly { from: number; to: number; owner: CandidateServer }[] {
  const keys = gaps.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  const lackTotal = lacks.reduce((sum, { lack }) => sum + lack, 0);
  const queue = [...lacks].sort((left, right) => right.lack - left.lack);
  const pieces: { from: number; to: number; owner: CandidateServer }[] = [];
  let index = 0;
  let left = quota(queue, index, keys, lackTotal);
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
        left = quota(queue, index, keys, lackTotal);
      }
    }
  }
  return pieces;
}

function quota(queue: readonly { lack: number }[], index: number, keys: number, lackTotal: number): number {
  const lack = queue[index]?.lack ?? 0;
  return Math.max(1, Math.round(lackTotal > 0 ? (keys * lack) / lackTotal : keys / queue.length));
}

/**
 * Moves that even out the load: servers without keys get some, and the busiest servers give pieces to those with
 * the most room. One server may give pieces to many others at a time, since the keys of a sudden crowd lie close
 * together and are more than any two servers can take. Where ranges have become many, some small ones go to the
 * owners of their neighbours besides.
 * @param most moves for the load at most; each may add two ranges.
 */
export function planMoves(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  traffic: KeyTraffic,
  most: number,
): readonly PlannedMove[] {
  const plan = new MovePlan(ranges, servers, traffic);
  return [...repeatedly(most, () => plan.next()), ...repeatedly(MOST_REUNIONS, () => plan.nextReunion())];
}

function repeatedly(most: number, plan: () => PlannedMove | undefined): readonly PlannedMove[] {
  const moves: PlannedMove[] = [];
  while (moves.length < most) {
    const move = plan();
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/** Part of a range with its recent requests. */
interface Piece {
  readonly range: OwnedRange;
  readonly from: number;
  readonly to: number;
  readonly keys: readonly number[];
}

interface ServerUse {
  readonly server: CandidateServer;
  /** Requests that the server can finish in the time of the traffic. */
  readonly capacity: number;
  requests: number;
  pieces: Piece[];
  hasKeys: boolean;
}

/** Owners as they will be once the moves planned so far are made. */
class MovePlan {
  readonly #uses: ServerUse[];
  /** Utilisation that servers are filled up to. */
  readonly #target: number;

  constructor(ranges: readonly OwnedRange[], servers: readonly CandidateServer[], traffic: KeyTraffic) {
    const uses = new Map(
      servers.map((server): [string, ServerUse] => [
        server.id,
        {
          server,
          capacity: server.requestsPerSecond * traffic.seconds,
          requests: 0,
          pieces: [],
          hasKeys: false,
        },
      ]),
    );
    for (const range of ranges) {
      const use = uses.get(range.ownerId);
      if (use !== undefined) {
        const keys = keysIn(traffic.sortedKeys, range.from, range.to);
        use.pieces.push({ range, from: range.from, to: range.to, keys });
        use.requests += keys.length;
        use.hasKeys = true;
      }
    }
    this.#uses = [...uses.values()];
    const capacity = this.#uses.reduce((sum, use) => sum + use.capacity, 0);
    const mean = capacity === 0 ? 0 : traffic.sortedKeys.length / capacity;
    this.#target = Math.max(LOW_UTILISATION, TARGET_RATIO * mean);
  }

  next(): PlannedMove | undefined {
    return this.#firstKeys() ?? this.#relief();
  }

  /** Gives a small range to the owner of the one before it, so that both can become one. */
  nextReunion(): PlannedMove | undefined {
    const pieces = this.#uses.flatMap((use) => use.pieces.map((piece) => ({ use, piece })));
    if (pieces.length <= MANY_RANGES * this.#uses.length) {
      return undefined;
    }
    const byEnd = new Map(pieces.map((entry) => [entry.piece.to, entry.use]));
    const mostKeys = (SMALL_SHARE * (LAST_KEY + 1)) / this.#uses.length;
    const candidates = pieces
      .filter(({ use, piece }) => {
        const neighbour = byEnd.get(piece.from - 1);
        const isFit = neighbour !== undefined && neighbour !== use && use.pieces.length > 1;
        return (
          isFit && widthOf(piece) <= mostKeys && piece.keys.length <= Math.max(0, this.#roomOf(neighbour))
        );
      })
      .sort((left, right) => left.piece.keys.length - right.piece.keys.length);
    const piece = candidates[0]?.piece;
    const receiver = piece === undefined ? undefined : byEnd.get(piece.from - 1);
    return piece === undefined || receiver === undefined
      ? undefined
      : this.#move(piece, piece.from, piece.to, receiver);
  }

  #firstKeys(): PlannedMove | undefined {
    const empty = this.#uses.find(({ hasKeys }) => !hasKeys);
    if (empty === undefined) {
      return undefined;
    }
    const pieces = this.#uses.flatMap(({ pieces: own }) => own);
    const widest = pieces.sort((left, right) => widthOf(right) - widthOf(left))[0];
    if (widest === undefined || widthOf(widest) < 2) {
      return undefined;
    }
    const from = widest.to - Math.floor(widthOf(widest) * FIRST_SHARE) + 1;
    return this.#move(widest, from, widest.to, empty);
  }

  #relief(): PlannedMove | undefined {
    const byRoom = [...this.#uses].sort((left, right) => this.#roomOf(right) - this.#roomOf(left));
    const receiver = byRoom[0];
    if (receiver === undefined) {
      return undefined;
    }
    const byUse = [...this.#uses].sort((left, right) => utilisationOf(right) - utilisationOf(left));
    for (const giver of byUse) {
      const isHot =
        utilisationOf(giver) >= HIGH_UTILISATION &&
        utilisationOf(giver) >= LEAST_RATIO * utilisationOf(receiver);
      const wanted = this.#target * giver.capacity;
      const excess = giver.requests - wanted;
      if (!isHot || excess < Math.max(LEAST_EXCESS, SIGNIFICANCE * Math.sqrt(wanted))) {
        return undefined;
      }
      const piece = bestPiece(giver.pieces, Math.min(excess, this.#roomOf(receiver)));
      if (piece !== undefined) {
        return this.#move(piece.of, piece.from, piece.to, receiver);
      }
    }
    return undefined;
  }

  /** Requests that a server can be given until it is as busy as it should be. */
  #roomOf({ capacity, requests }: ServerUse): number {
    return this.#target * capacity - requests;
  }

  #move(piece: Piece, from: number, to: number, receiver: ServerUse): PlannedMove {
    const giver = this.#uses.find(({ pieces }) => pieces.includes(piece));
    const moved = keysIn(piece.keys, from, to).length;
    if (giver !== undefined) {
      const rest = [cut(piece, piece.from, from - 1), cut(piece, to + 1, piece.to)];
      giver.pieces = giver.pieces.flatMap((other) =>
        other === piece ? rest.filter((part) => part.from <= part.to) : [other],
      );
      giver.requests -= moved;
    }
    // What has moved stays where it is for now: it is not among the receiver's pieces.
    receiver.requests += moved;
    receiver.hasKeys = true;
    return { range: piece.range, from, to, newOwnerId: receiver.server.id };
  }
}

function cut({ range, keys }: Piece, from: number, to: number): Piece {
  return { range, from, to, keys: keysIn(keys, from, to) };
}

function widthOf({ from, to }: Piece): number {
  return to - from + 1;
}

function utilisationOf({ requests, capacity }: ServerUse): number {
  return requests / capacity;
}

/** A part of a piece that may move. */
interface MovablePart {
  readonly of: Piece;
  readonly from: number;
  readonly to: number;
  readonly requests: number;
}

/** The part at an end of a piece whose traffic comes closest to what shall be shifted, without going over. */
function bestPiece(pieces: readonly Piece[], wanted: number): MovablePart | undefined {
  let best: MovablePart | undefined;
  for (const piece of pieces) {
    for (const part of [headOf(piece, wanted), tailOf(piece, wanted)]) {
      if (part !== undefined && part.requests >= LEAST_REQUESTS && part.requests > (best?.requests ?? 0)) {
        best = part;
      }
    }
  }
  return best;
}

function headOf(piece: Piece, wanted: number): MovablePart | undefined {
  const end = piece.keys[Math.floor(wanted)];
  if (end === undefined) {
    return { of: piece, from: piece.from, to: piece.to, requests: piece.keys.length };
  }
  const requests = lowerBound(piece.keys, end);
  return end > piece.from ? { of: piece, from: piece.from, to: end - 1, requests } : undefined;
}

function tailOf(piece: Piece, wanted: number): MovablePart | undefined {
  const start = piece.keys[piece.keys.length - 1 - Math.floor(wanted)];
  if (start === undefined) {
    return undefined;
  }
  const requests = piece.keys.length - lowerBound(piece.keys, start + 1);
  return start < piece.to ? { of: piece, from: start + 1, to: piece.to, requests } : undefined;
}

/** Part of a sorted list that lies between two keys. */
function keysIn(sortedKeys: readonly number[], from: number, to: number): readonly number[] {
  return sortedKeys.slice(lowerBound(sortedKeys, from), lowerBound(sortedKeys, to + 1));
}

function lowerBound(sortedKeys: readonly number[], key: number): number {
  let low = 0;
  let high = sortedKeys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sortedKeys[middle] ?? 0) < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
