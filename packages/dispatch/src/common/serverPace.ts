/** What decided a change of pace. */
export type PaceReason =
  /** The server restarted, or was added to a running service while it warms up. */
  | 'started'
  /** The server was unresponsive and is ejected for a while. */
  | 'ejected'
  /** It answered as fast as its peers. */
  | 'answered'
  /** It answered, but took longer than its peers. */
  | 'slow'
  /** It failed or refused a request. */
  | 'failed'
  /** It was not asked for long, so that nothing is known of it. */
  | 'expired';

/** A change of the number of requests that a server may have in flight. */
export interface PaceChange {
  readonly reason: PaceReason;
  /** Undefined if the pace does not limit the server. */
  readonly before: number | undefined;
  readonly limit: number | undefined;
  /** Smoothed processing time of the server since it is limited, and that of its peers, in milliseconds. */
  readonly milliseconds: number | undefined;
  readonly peerMilliseconds: number | undefined;
}

/** Limits the requests that one server may have in flight. */
export interface RequestPace {
  /** Requests that the server may have in flight; undefined if the pace does not limit them. */
  readonly limit: number | undefined;
  /** Limits the server because it has started or is ejected. Attempts in flight no longer count. */
  restart(reason: 'started' | 'ejected', now: number): void;
  /** Number of requests that may start now. */
  available(now: number): number;
  /** Counts a request that starts. */
  begin(attemptId: string, now: number): void;
  /**
   * Records an answer.
   * @param milliseconds processing time; undefined if the server did not start to process the request.
   * @param peerMilliseconds average processing time of the service.
   */
  recordAnswer(attemptId: string, milliseconds: number | undefined, peerMilliseconds: number): void;
  /** Records a refusal or failure. */
  recordFailure(attemptId: string): void;
  /** Removes an attempt that says nothing about the server. */
  cancel(attemptId: string): void;
}

export type PaceFactory = (slots: number, onDidChange: (change: PaceChange) => void) => RequestPace;

/** Factor on the processing time of the peers up to which a server counts as fast as they are. */
const FAST_FACTOR = 1.3;
/** Factor beyond which a server is not given all its slots. */
const TOLERATED_FACTOR = 2;
/** Weight of a new answer in the processing time of a limited server. */
const SMOOTHING = 0.3;
/**
 * Bounds of the time after which an attempt without a response no longer holds back the next, in milliseconds. Between
 * them it is twice the processing time of the server.
 */
const MIN_PATIENCE_MILLISECONDS = 1_000;
const MAX_PATIENCE_MILLISECONDS = 3_200;
/** Time without requests after which nothing is known of a server, in milliseconds. */
const EXPIRY_MILLISECONDS = 5_000;

/**
 * How many requests a server that has just started or recovered may have in flight. Load patterns: a fleet meets one cold
 * server; half of a service comes back at once; a server that is up and down by turns; a server that is only slow.
 *
 * It starts with one. While the server is as fast as its peers, each answer admits one more, which doubles the number with
 * each round of answers; while it is slower, each round admits one more; a failure halves the number. A server slower than
 * its peers by more than `TOLERATED_FACTOR` keeps its share: the slots divided by how much slower it is. The limit ends
 * when all slots are admitted.
 */
export class ServerPace implements RequestPace {
  readonly #slots: number;
  readonly #onDidChange: (change: PaceChange) => void;
  #limit: number | undefined;
  #milliseconds: number | undefined;
  /** Times at which attempts began since the limit was last set to its minimum, by attempt. */
  readonly #attempts = new Map<string, number>();
  #lastRequestAt = 0;
  /** Why the limit was set to its minimum, until a request starts: servers are also known where no request for them passes. */
  #unreported: 'started' | undefined;

  constructor(slots: number, onDidChange: (change: PaceChange) => void) {
    this.#slots = slots;
    this.#onDidChange = onDidChange;
  }

  get limit(): number | undefined {
    return this.#limit === undefined ? undefined : Math.floor(this.#limit);
  }

  /** Limits the server to one request at a time until it has answered. Attempts in flight no longer count. */
  restart(reason: 'started' | 'ejected', now: number): void {
    this.#attempts.clear();
    this.#milliseconds = undefined;
    this.#lastRequestAt = now;
    const before = this.limit;
    this.#limit = 1;
    if (reason === 'started') {
      this.#unreported = reason;
    } else {
      this.#report(reason, before);
    }
  }

  available(now: number): number {
    if (this.#limit === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.#attempts.size === 0 && now - this.#lastRequestAt > EXPIRY_MILLISECONDS) {
      this.#limit = undefined;
      this.#report('expired', 1);
      return Number.POSITIVE_INFINITY;
    }
    const since = now - this.#patienceMilliseconds();
    let waiting = 0;
    for (const beganAt of this.#attempts.values()) {
      waiting += beganAt > since ? 1 : 0;
    }
    return Math.max(0, Math.floor(this.#limit) - waiting);
  }

  begin(attemptId: string, now: number): void {
    if (this.#limit !== undefined) {
      this.#attempts.set(attemptId, now);
      this.#lastRequestAt = now;
      if (this.#unreported !== undefined) {
        const reason = this.#unreported;
        this.#unreported = undefined;
        this.#report(reason, undefined);
      }
    }
  }

  recordAnswer(attemptId: string, milliseconds: number | undefined, peerMilliseconds: number): void {
    if (!this.#attempts.delete(attemptId) || this.#limit === undefined) {
      return;
    }
    this.#milliseconds =
      milliseconds === undefined || this.#milliseconds === undefined
        ? (this.#milliseconds ?? milliseconds)
        : this.#milliseconds + SMOOTHING * (milliseconds - this.#milliseconds);
    const slowness = (this.#milliseconds ?? peerMilliseconds) / peerMilliseconds;
    const share = Math.max(1, (this.#slots * TOLERATED_FACTOR) / Math.max(TOLERATED_FACTOR, slowness));
    const grown = this.#limit + (slowness > FAST_FACTOR ? 1 / this.#limit : 1);
    this.#setLimit(
      Math.min(share, grown),
      slowness > TOLERATED_FACTOR ? 'slow' : 'answered',
      peerMilliseconds,
    );
  }

  recordFailure(attemptId: string): void {
    if (this.#attempts.delete(attemptId) && this.#limit !== undefined) {
      this.#setLimit(Math.max(1, this.#limit / 2), 'failed');
    }
  }

  cancel(attemptId: string): void {
    this.#attempts.delete(attemptId);
  }

  #patienceMilliseconds(): number {
    const twice = 2 * (this.#milliseconds ?? 0);
    return Math.min(MAX_PATIENCE_MILLISECONDS, Math.max(MIN_PATIENCE_MILLISECONDS, twice));
  }

  #setLimit(limit: number, reason: PaceReason, peerMilliseconds?: number): void {
    const before = this.limit;
    this.#limit = limit >= this.#slots ? undefined : limit;
    if (this.#limit === undefined) {
      this.#attempts.clear();
    }
    if (this.limit !== before) {
      this.#report(reason, before, peerMilliseconds);
    }
  }

  #report(reason: PaceReason, before: number | undefined, peerMilliseconds?: number): void {
    const isUnreported = this.#unreported !== undefined;
    this.#unreported = undefined;
    if (!isUnreported || reason === 'ejected') {
      const milliseconds = this.#milliseconds;
      this.#onDidChange({ reason, before, limit: this.limit, milliseconds, peerMilliseconds });
    }
  }
}
