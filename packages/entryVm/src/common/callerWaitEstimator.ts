import { lowerBound } from '@hickoryhoist/base/common/sortedNumbers.js';

/** Number of recent requests of a route on which the estimate is based. */
const SAMPLES = 64;
/** Number of requests below which the spread of the timeouts is not known. */
const MIN_SAMPLES = 8;
/**
 * Largest difference between the timeouts of two first attempts, as a fraction of the longest one. A larger
 * difference means that the caller has waited.
 */
const MAX_SPREAD = 0.25;

/** The last timeouts of a route. */
class RecentTimeouts {
  readonly #inOrder: number[] = [];
  readonly #sorted: number[] = [];

  get count(): number {
    return this.#sorted.length;
  }

  get longest(): number {
    return this.#sorted.at(-1) ?? 0;
  }

  get median(): number {
    return this.#sorted[this.#sorted.length >> 1] ?? 0;
  }

  add(timeoutMilliseconds: number): void {
    if (this.#inOrder.length >= SAMPLES) {
      const oldest = this.#inOrder.shift() ?? 0;
      this.#sorted.splice(lowerBound(this.#sorted, oldest), 1);
    }
    this.#inOrder.push(timeoutMilliseconds);
    this.#sorted.splice(lowerBound(this.#sorted, timeoutMilliseconds), 0, timeoutMilliseconds);
  }
}

/**
 * Estimates how long a caller has waited before it sent this attempt. A caller that was refused returns with what is
 * left of its timeout, and its latency goal counts from its first attempt. Load pattern: refused callers return among
 * new ones, whose timeouts are similar but not equal; each request moves one timeout within a sorted list. New callers
 * must not be taken for returning ones, since they would be refused although they can still be served within their goal.
 */
export class CallerWaitEstimator {
  readonly #timeoutsByRoute = new Map<string, RecentTimeouts>();

  /**
   * Records a request.
   * @param timeoutMilliseconds time that the caller still waits.
   * @returns the estimated time since the caller's first attempt, in milliseconds; 0 for a first attempt.
   */
  record(route: string, timeoutMilliseconds: number): number {
    let timeouts = this.#timeoutsByRoute.get(route);
    if (timeouts === undefined) {
      timeouts = new RecentTimeouts();
      this.#timeoutsByRoute.set(route, timeouts);
    }
    timeouts.add(timeoutMilliseconds);
    const { longest } = timeouts;
    const shortestFirst = longest - spreadOfFirstAttempts(timeouts);
    const expectedFirst = (shortestFirst + longest) / 2;
    return timeoutMilliseconds >= shortestFirst ? 0 : expectedFirst - timeoutMilliseconds;
  }
}

/**
 * The timeouts of first attempts lie evenly below the longest one, so half of them are within half of their spread.
 * Returning callers have shorter timeouts and make the spread appear larger, up to its maximum.
 */
function spreadOfFirstAttempts({ count, longest, median }: RecentTimeouts): number {
  if (count < MIN_SAMPLES) {
    return MAX_SPREAD * longest;
  }
  return Math.min(2 * (longest - median), MAX_SPREAD * longest);
}
