/** Requests that may start at once after a pause, as a time at the stated rate; in milliseconds. */
const BURST_MILLISECONDS = 500;
/** Minimum of such requests: callers do not arrive evenly. */
const MIN_BURST = 2;
/** A server that names no rate above this still gets a request now and then, in whose response it can name another. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/**
 * Time after the last response with a limit from which on a response without one ends it, in milliseconds. Responses of
 * requests that ran longer, or that came through other entry VMs, may arrive out of order.
 */
const REORDERING_MILLISECONDS = 500;

/**
 * The rate of requests that a server has asked for in its responses, and whether another request may start now. Load
 * pattern: a server in need names less than its slots could run, while callers press on. The rate is spent evenly, so that
 * the requests of any few seconds stay within it, also when another coordinator takes over meanwhile.
 */
export class ServerRateLimit {
  #requestsPerSecond: number | undefined;
  #statedAt = Number.NEGATIVE_INFINITY;
  /** Requests that may start now, as of `#countedAt`. */
  #available = 0;
  #countedAt = 0;

  /** The rate in force; undefined if there is none. */
  get requestsPerSecond(): number | undefined {
    return this.#requestsPerSecond;
  }

  /** Records what a response said. @param requestsPerSecond undefined if it named no limit. */
  record(requestsPerSecond: number | undefined, now: number): void {
    if (requestsPerSecond !== undefined) {
      this.#count(now);
      this.#requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
      this.#statedAt = now;
    } else if (now - this.#statedAt > REORDERING_MILLISECONDS) {
      this.#requestsPerSecond = undefined;
    }
  }

  /** Number of requests that may start now. */
  available(now: number): number {
    this.#count(now);
    return this.#requestsPerSecond === undefined ? Number.POSITIVE_INFINITY : Math.floor(this.#available);
  }

  /** Counts a request that starts. */
  start(now: number): void {
    if (this.#requestsPerSecond !== undefined) {
      this.#count(now);
      this.#available -= 1;
    }
  }

  #count(now: number): void {
    if (this.#requestsPerSecond === undefined) {
      this.#available = 0;
    } else {
      const burst = Math.max(MIN_BURST, (this.#requestsPerSecond * BURST_MILLISECONDS) / 1_000);
      const gained = ((now - this.#countedAt) * this.#requestsPerSecond) / 1_000;
      this.#available = Math.min(burst, this.#available + gained);
    }
    this.#countedAt = now;
  }
}
