import type { KeyShare } from './keyDemand.js';
import type { SlotRequest } from './slotRequest.js';

/** A request and its place in the queue. */
interface QueuedRequest {
  readonly request: SlotRequest;
  readonly share: KeyShare;
  /** Time after which the request counts as late. */
  readonly startBy: number;
}

/** Requests of one rank and share. */
interface Lane {
  /** Requests that are not late, the earliest time first. */
  readonly inTime: QueuedRequest[];
  /** Late requests, in the order in which they became late. */
  readonly late: QueuedRequest[];
}

/** Requests of one rank. */
type Level = Readonly<Record<KeyShare, Lane>>;

/** What decides the place of a request. */
export interface QueuePosition {
  readonly share: KeyShare;
  /** Time after which the request counts as late. */
  readonly startBy: number;
}

/**
 * Requests that wait for the same slots, in the order in which they get them: by rank, then those that can still meet
 * their goal, those for keys within their fair share first, the earliest goal first. Load pattern: callers that were
 * refused in a surge return while new ones keep arriving. The goal of a caller counts from its first attempt, so a
 * returning caller is ahead of new ones.
 */
export class SlotQueue {
  /** Levels by rank, in ascending order of rank. */
  #levels = new Map<number, Level>();
  readonly #requests = new Map<string, QueuedRequest>();

  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request, in place of one with the same identifier. */
  add(request: SlotRequest, now: number, position = defaultPosition(request)): void {
    this.delete(request.id);
    const queued = { request, ...position };
    this.#requests.set(request.id, queued);
    const lane = this.#levelFor(request.rank)[queued.share];
    if (queued.startBy < now) {
      lane.late.push(queued);
    } else {
      lane.inTime.splice(countUpTo(lane.inTime, queued.startBy), 0, queued);
    }
  }

  /** @returns whether the request was queued. */
  delete(id: string): boolean {
    const queued = this.#requests.get(id);
    if (queued === undefined) {
      return false;
    }
    this.#requests.delete(id);
    const { inTime, late } = this.#levelFor(queued.request.rank)[queued.share];
    for (let index = countUpTo(inTime, queued.startBy) - 1; index >= 0; index -= 1) {
      const other = inTime[index];
      if (other === queued) {
        inTime.splice(index, 1);
        return true;
      }
      if (other !== undefined && other.startBy < queued.startBy) {
        break;
      }
    }
    late.splice(late.indexOf(queued), 1);
    return true;
  }

  /** Puts the queued requests for a key behind those for keys within their fair share. */
  putBehind(key: number, startBy: (request: SlotRequest) => number, now: number): void {
    for (const { request, share } of [...this.#requests.values()]) {
      if (request.key === key && share === 'within') {
        this.add(request, now, { share: 'above', startBy: startBy(request) });
      }
    }
  }

  first(now: number): SlotRequest | undefined {
    for (const level of this.#levels.values()) {
      separateLate(level, now);
      const { within, above } = level;
      const first = within.inTime[0] ?? above.inTime[0] ?? within.late[0] ?? above.late[0];
      if (first !== undefined) {
        return first.request;
      }
    }
    return undefined;
  }

  /** All requests in order. */
  inOrder(now: number): readonly SlotRequest[] {
    return [...this.#levels.values()].flatMap((level) => {
      separateLate(level, now);
      const { within, above } = level;
      return [...within.inTime, ...above.inTime, ...within.late, ...above.late].map(({ request }) => request);
    });
  }

  /** Number of queued requests that get a slot before a new one. */
  countAhead(
    request: Pick<SlotRequest, 'rank' | 'goalAt'>,
    now: number,
    position = defaultPosition(request),
  ): number {
    let count = 0;
    for (const [levelRank, level] of this.#levels) {
      if (levelRank < request.rank) {
        count += sizeOf(level);
      } else if (levelRank === request.rank) {
        separateLate(level, now);
        count += countAheadInLevel(level, now, position);
      }
    }
    return count;
  }

  #levelFor(rank: number): Level {
    const known = this.#levels.get(rank);
    if (known !== undefined) {
      return known;
    }
    const level: Level = { within: { inTime: [], late: [] }, above: { inTime: [], late: [] } };
    this.#levels = new Map([...this.#levels, [rank, level] as const].sort(([left], [right]) => left - right));
    return level;
  }
}

function defaultPosition({ goalAt }: Pick<SlotRequest, 'goalAt'>): QueuePosition {
  return { share: 'within', startBy: goalAt };
}

function sizeOf({ within, above }: Level): number {
  return within.inTime.length + within.late.length + above.inTime.length + above.late.length;
}

function countAheadInLevel(level: Level, now: number, { share, startBy }: QueuePosition): number {
  const { within, above } = level;
  const isLate = startBy < now;
  switch (share) {
    case 'within':
      return isLate ? sizeOf(level) - above.late.length : countUpTo(within.inTime, startBy);
    case 'above':
      return isLate ? sizeOf(level) : within.inTime.length + countUpTo(above.inTime, startBy);
  }
}

/** Number of requests whose time is at most `startBy`, in a list in order of this time. */
function countUpTo(requests: readonly QueuedRequest[], startBy: number): number {
  let low = 0;
  let high = requests.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((requests[middle]?.startBy ?? 0) <= startBy) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function separateLate({ within, above }: Level, now: number): void {
  for (const { inTime, late } of [within, above]) {
    let count = 0;
    while ((inTime[count]?.startBy ?? Number.POSITIVE_INFINITY) < now) {
      count += 1;
    }
    if (count > 0) {
      late.push(...inTime.splice(0, count));
    }
  }
}
