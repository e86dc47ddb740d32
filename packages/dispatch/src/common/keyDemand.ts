/** Length of a counting period, in milliseconds. */
const PERIOD_MILLISECONDS = 1_000;
/** Time for which a computed fair share is used, in milliseconds. */
const FAIR_SHARE_MILLISECONDS = 50;
/** Share of a server's throughput up to which a key is never above its fair share. */
const MIN_HIGH_SHARE = 0.4;
/** Excess over its fair share, in standard deviations, up to which a key is not above it. */
const MIN_EXCESS_STANDARD_DEVIATIONS = 2;

/** Whether the requests for a key take more than its fair share of its server. */
export type KeyShare = 'within' | 'above';

/** The fair share of keys at one moment. */
interface FairShare {
  readonly computedAt: number;
  /** Requests in a period. */
  readonly requests: number;
}

/**
 * The requests for each key of one server, and its max-min fair share: what a key may use so that no key that uses less is
 * refused anything.
 *
 * Load pattern: one key or a few get many times the requests that their server serves, while its many other keys together
 * need only a part of it.
 */
export class KeyDemand {
  #periodStart = Number.NEGATIVE_INFINITY;
  #current = new Map<number, number>();
  #previous: ReadonlyMap<number, number> = new Map();
  #fairShare: FairShare | undefined;
  /** Keys whose last request was above their fair share. */
  readonly #above = new Set<number>();

  /** Whether a key was above its fair share when it was last asked for. */
  isAbove(key: number): boolean {
    return this.#above.has(key);
  }

  /** Records a request and tells whether its key is within its fair share of the server. */
  record(key: number, requestsPerMillisecond: number, now: number): KeyShare {
    this.#startPeriod(now);
    this.#current.set(key, (this.#current.get(key) ?? 0) + 1);
    if (this.#requestsOf(key, now) > this.#fairShareAt(requestsPerMillisecond, now)) {
      this.#above.add(key);
      return 'above';
    }
    this.#above.delete(key);
    return 'within';
  }

  #startPeriod(now: number): void {
    const elapsed = now - this.#periodStart;
    if (elapsed < PERIOD_MILLISECONDS) {
      return;
    }
    const isNext = elapsed < 2 * PERIOD_MILLISECONDS;
    this.#previous = isNext ? this.#current : new Map();
    this.#current = new Map();
    this.#periodStart = isNext ? this.#periodStart + PERIOD_MILLISECONDS : now;
    for (const key of this.#above) {
      if (!this.#previous.has(key)) {
        this.#above.delete(key);
      }
    }
  }

  /** Requests for a key in the last period, as if those of the period before were spread evenly. */
  #requestsOf(key: number, now: number): number {
    const previousShare = 1 - (now - this.#periodStart) / PERIOD_MILLISECONDS;
    return (this.#current.get(key) ?? 0) + previousShare * (this.#previous.get(key) ?? 0);
  }

  /** Requests in a period up to which a key is within its fair share. */
  #fairShareAt(requestsPerMillisecond: number, now: number): number {
    if (this.#fairShare === undefined || now - this.#fairShare.computedAt >= FAIR_SHARE_MILLISECONDS) {
      const requests = this.#computeFairShare(requestsPerMillisecond * PERIOD_MILLISECONDS, now);
      this.#fairShare = { computedAt: now, requests };
    }
    return this.#fairShare.requests;
  }

  #computeFairShare(throughput: number, now: number): number {
    const keys = new Set([...this.#previous.keys(), ...this.#current.keys()]);
    const demands = [...keys].map((key) => this.#requestsOf(key, now)).sort((left, right) => left - right);
    let left = throughput;
    for (const [index, demand] of demands.entries()) {
      const evenShare = left / (demands.length - index);
      if (demand > evenShare) {
        const share = Math.max(evenShare, MIN_HIGH_SHARE * throughput);
        return share + MIN_EXCESS_STANDARD_DEVIATIONS * Math.sqrt(share);
      }
      left -= demand;
    }
    return Number.POSITIVE_INFINITY;
  }
}
