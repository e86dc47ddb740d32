/** Bounds of the retry delay sent with a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MILLISECONDS = 50;
const MAX_RETRY_AFTER_MILLISECONDS = 1_500;

/**
 * Tells refused callers when to return. Load pattern: a surge is refused within a few milliseconds. With the same delay
 * for all, the callers would return together and be refused again, so each gets a time of its own, one service
 * interval after the previous one.
 */
export class ReturnSchedule {
  /** Latest time that was given to a caller. */
  #lastReturnAt = Number.NEGATIVE_INFINITY;

  /**
   * @param waitMilliseconds time until a slot is expected to be free.
   * @param intervalMilliseconds average time between two slots becoming free.
   * @returns the delay after which the caller should return, in milliseconds.
   */
  next(waitMilliseconds: number, intervalMilliseconds: number, now: number): number {
    const earliest = now + Math.max(MIN_RETRY_AFTER_MILLISECONDS, waitMilliseconds);
    const latest = now + MAX_RETRY_AFTER_MILLISECONDS;
    const inTurn = Math.max(earliest, this.#lastReturnAt + intervalMilliseconds);
    // Beyond the maximum the callers share the same period once more.
    this.#lastReturnAt = Math.min(latest, inTurn > latest ? earliest : inTurn);
    return this.#lastReturnAt - now;
  }
}
