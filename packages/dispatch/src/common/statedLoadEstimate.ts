import type { StatedLoad } from './serverStatements.js';

/** Age at which a statement about the load of the moment says nothing any more, in milliseconds. */
const VALID_MILLISECONDS = 500;
/** Weight of a new statement in the usual work factor. */
const USUAL_SMOOTHING = 0.05;

/**
 * What a server last stated about its load. Load pattern: servers share their machines with others, so that work takes
 * several times longer for a few tenths of a second. It counts for the choice of a server only, and the less the older
 * it is: estimates over many requests must not follow it.
 */
export class StatedLoadEstimate {
  #workFactor = 1;
  #usualFactor = 1;
  #otherRequests = 0;
  #statedAt = Number.NEGATIVE_INFINITY;

  /** @param inFlight number of attempts known to be at the server. */
  record({ running, waiting, workFactor }: StatedLoad, inFlight: number, now: number): void {
    this.#workFactor = workFactor;
    this.#usualFactor += USUAL_SMOOTHING * (workFactor - this.#usualFactor);
    // The request that is just being answered may count or not.
    this.#otherRequests = Math.max(0, running + waiting - inFlight - 1);
    this.#statedAt = now;
  }

  /** Time that work takes now, relative to the average of the past. */
  relativeWorkFactor(now: number): number {
    return 1 + (this.#workFactor / this.#usualFactor - 1) * this.#relevance(now);
  }

  /** Expected number of requests at the server beyond those that were sent to it from here. */
  otherRequests(now: number): number {
    return this.#otherRequests * this.#relevance(now);
  }

  #relevance(now: number): number {
    return Math.max(0, 1 - (now - this.#statedAt) / VALID_MILLISECONDS);
  }
}
