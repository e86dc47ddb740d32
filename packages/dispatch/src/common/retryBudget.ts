/** Bounds of attempts beyond the first of each request, over all entry VMs together. */
export interface RetryBudgetOptions {
  /** Further attempts for each request of a service. */
  readonly retriesPerRequest: number;
  /** Further attempts of a service in a window, whatever the number of requests. */
  readonly baseRetriesPerWindow: number;
  readonly windowMilliseconds: number;
}

/** Part of the attempts for each request that is used: a request may be counted just outside of the window. */
const USED_RATIO_SHARE = 0.85;
/** Part of the extra attempts that is used, since entry VMs do not see each other's use and windows slide. */
const USED_EXTRA_SHARE = 0.45;
/** Part of this entry VM's extra attempts that can be saved up, but never less than one attempt. */
const SAVED_SHARE = 0.5;

interface Bucket {
  tokens: number;
  refilledAt: number;
}

/** This entry VM's part of the attempts that may be made beyond the first ones. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets = new Map<string, Bucket>();
  readonly #entryVmCount: () => number;

  constructor(options: RetryBudgetOptions, entryVmCount: () => number) {
    this.#options = options;
    this.#entryVmCount = entryVmCount;
  }

  recordRequest(service: string): void {
    const bucket = this.#bucket(service);
    bucket.tokens = Math.min(
      this.#capacity(),
      bucket.tokens + this.#options.retriesPerRequest * USED_RATIO_SHARE,
    );
  }

  /** Takes one further attempt. @returns false when none is left. */
  tryTake(service: string): boolean {
    const bucket = this.#bucket(service);
    const now = performance.now();
    const refill = ((now - bucket.refilledAt) / this.#options.windowMilliseconds) * this.#extraPart();
    bucket.tokens = Math.min(this.#capacity(), bucket.tokens + refill);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  #extraPart(): number {
    return (this.#options.baseRetriesPerWindow * USED_EXTRA_SHARE) / Math.max(1, this.#entryVmCount());
  }

  #capacity(): number {
    return Math.max(1, this.#extraPart() * SAVED_SHARE);
  }

  #bucket(service: string): Bucket {
    const known = this.#buckets.get(service);
    if (known !== undefined) {
      return known;
    }
    const bucket: Bucket = { tokens: this.#capacity(), refilledAt: performance.now() };
    this.#buckets.set(service, bucket);
    return bucket;
  }
}
