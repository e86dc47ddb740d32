/** Number of recent requests of a route on which the estimate is based. */
const SAMPLES = 64;
/** Number of requests below which the spread of the timeouts is not known. */
const MIN_SAMPLES = 8;
/**
 * Largest difference between the timeouts of two first attempts, as a fraction of the longest one. A larger
 * difference means that the caller has waited.
 */
const MAX_SPREAD = 0.25;

/**
 * Estimates how long a caller has waited before it sent this attempt. A caller that was refused returns with what is
 * left of its timeout, and its latency goal counts from its first attempt. Load pattern: refused callers return among
 * new ones, whose timeouts are similar but not equal. New callers must not be taken for returning ones, since they
 * would be refused although they can still be served within their goal.
 */
export class CallerWaitEstimator {
  readonly #timeoutsByRoute = new Map<string, number[]>();

  /**
   * Records a request.
   * @param timeoutMilliseconds time that the caller still waits.
   * @returns the estimated time since the caller's first attempt, in milliseconds; 0 for a first attempt.
   */
  record(route: string, timeoutMilliseconds: number): number {
    const timeouts = this.#timeoutsByRoute.get(route) ?? [];
    this.#timeoutsByRoute.set(route, timeouts);
    timeouts.push(timeoutMilliseconds);
    if (timeouts.length > SAMPLES) {
      timeouts.shift();
    }
    const longest = Math.max(...timeouts);
    const shortestFirst = longest - spreadOfFirstAttempts(timeouts, longest);
    const expectedFirst = (shortestFirst + longest) / 2;
    return timeoutMilliseconds >= shortestFirst ? 0 : expectedFirst - timeoutMilliseconds;
  }
}

/**
 * The timeouts of first attempts lie evenly below the longest one, so half of them are within half of their spread.
 * Returning callers have shorter timeouts and make the spread appear larger, up to its maximum.
 */
function spreadOfFirstAttempts(timeouts: readonly number[], longest: number): number {
  if (timeouts.length < MIN_SAMPLES) {
    return MAX_SPREAD * longest;
  }
  const median = [...timeouts].sort((left, right) => left - right)[timeouts.length >> 1] ?? longest;
  return Math.min(2 * (longest - median), MAX_SPREAD * longest);
}
