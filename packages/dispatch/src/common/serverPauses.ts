/** Interval between the callers that return after a pause, in milliseconds, and number of callers after which it restarts. */
const RETURN_INTERVAL_MILLISECONDS = 25;
const RETURNS_PER_ROUND = 20;

interface Pause {
  readonly until: number;
  /** Callers that were told when to return. */
  returns: number;
}

/**
 * Pauses that servers have asked this process for. Load pattern: a server that is overwhelmed turns requests away with a
 * time to return; to send it more meanwhile only costs it. Callers that cannot be served by another server are told to
 * return when the pause ends, one after the other.
 */
export class ServerPauses {
  readonly #pauses = new Map<string, Pause>();

  /** Whether there is any pause, which may be over. */
  get isEmpty(): boolean {
    return this.#pauses.size === 0;
  }

  /** Starts a pause, or makes one longer. */
  record(serverId: string, milliseconds: number, now: number): void {
    for (const [id, { until }] of this.#pauses) {
      if (until <= now) {
        this.#pauses.delete(id);
      }
    }
    const until = now + milliseconds;
    const known = this.#pauses.get(serverId);
    if (until > (known?.until ?? now)) {
      this.#pauses.set(serverId, { until, returns: known?.returns ?? 0 });
    }
  }

  /** Ends the pause of a server that has started again. */
  delete(serverId: string): void {
    this.#pauses.delete(serverId);
  }

  /** Time until the server may get requests again, in milliseconds; 0 if it may now. */
  remainingMilliseconds(serverId: string, now: number): number {
    return Math.max(0, (this.#pauses.get(serverId)?.until ?? 0) - now);
  }

  /** Time after which the next caller should return, in milliseconds. */
  nextReturnMilliseconds(serverId: string, now: number): number {
    const pause = this.#pauses.get(serverId);
    if (pause === undefined) {
      return 0;
    }
    const turn = pause.returns % RETURNS_PER_ROUND;
    pause.returns += 1;
    return Math.max(0, pause.until - now) + turn * RETURN_INTERVAL_MILLISECONDS;
  }
}
