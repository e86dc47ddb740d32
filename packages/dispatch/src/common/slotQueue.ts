import type { SlotRequest } from './slotRequest.js';

/** Queued requests of one rank. */
interface Level {
  /** Requests whose goal has not passed, the earliest goal first. */
  readonly inTime: SlotRequest[];
  /** Requests whose goal has passed, in the order in which it passed. */
  readonly late: SlotRequest[];
}

/**
 * Requests that wait for the same slots, in the order in which they get them: by rank, then those that can still meet
 * their goal, the earliest goal first. Load pattern: callers that were refused in a surge return while new ones keep
 * arriving. The goal of a caller counts from its first attempt, so a returning caller is ahead of new ones.
 */
export class SlotQueue {
  /** Levels by rank, in ascending order of rank. */
  #levels = new Map<number, Level>();
  readonly #requests = new Map<string, SlotRequest>();

  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request, in place of one with the same identifier. */
  add(request: SlotRequest, now: number): void {
    this.delete(request.id);
    this.#requests.set(request.id, request);
    const level = this.#levelFor(request.rank);
    if (request.goalAt < now) {
      level.late.push(request);
    } else {
      level.inTime.splice(countUpToGoal(level.inTime, request.goalAt), 0, request);
    }
  }

  /** @returns whether the request was queued. */
  delete(id: string): boolean {
    const request = this.#requests.get(id);
    if (request === undefined) {
      return false;
    }
    this.#requests.delete(id);
    const { inTime, late } = this.#levelFor(request.rank);
    for (let index = countUpToGoal(inTime, request.goalAt) - 1; index >= 0; index -= 1) {
      const other = inTime[index];
      if (other === request) {
        inTime.splice(index, 1);
        return true;
      }
      if (other !== undefined && other.goalAt < request.goalAt) {
        break;
      }
    }
    late.splice(late.indexOf(request), 1);
    return true;
  }

  first(now: number): SlotRequest | undefined {
    for (const level of this.#levels.values()) {
      separateLate(level, now);
      const first = level.inTime[0] ?? level.late[0];
      if (first !== undefined) {
        return first;
      }
    }
    return undefined;
  }

  /** All requests in order. */
  inOrder(now: number): readonly SlotRequest[] {
    return [...this.#levels.values()].flatMap((level) => {
      separateLate(level, now);
      return [...level.inTime, ...level.late];
    });
  }

  /** Number of queued requests that get a slot before a new one. */
  countAhead({ rank, goalAt }: Pick<SlotRequest, 'rank' | 'goalAt'>, now: number): number {
    let count = 0;
    for (const [levelRank, level] of this.#levels) {
      if (levelRank < rank) {
        count += level.inTime.length + level.late.length;
      } else if (levelRank === rank) {
        separateLate(level, now);
        count += goalAt < now ? level.inTime.length + level.late.length : countUpToGoal(level.inTime, goalAt);
      }
    }
    return count;
  }

  #levelFor(rank: number): Level {
    const known = this.#levels.get(rank);
    if (known !== undefined) {
      return known;
    }
    const level: Level = { inTime: [], late: [] };
    this.#levels = new Map([...this.#levels, [rank, level] as const].sort(([left], [right]) => left - right));
    return level;
  }
}

/** Number of requests whose goal is at most `goalAt`, in a list in order of the goal. */
function countUpToGoal(requests: readonly SlotRequest[], goalAt: number): number {
  let low = 0;
  let high = requests.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((requests[middle]?.goalAt ?? 0) <= goalAt) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function separateLate({ inTime, late }: Level, now: number): void {
  let count = 0;
  while ((inTime[count]?.goalAt ?? Number.POSITIVE_INFINITY) < now) {
    count += 1;
  }
  if (count > 0) {
    late.push(...inTime.splice(0, count));
  }
}
