/** Limits on retries, for all entry VMs together. */
export interface RetryBudgetOptions {
  /** Retries that each request of a service adds to the budget. */
  readonly retriesPerRequest: number;
  /** Retries allowed for a service in each window regardless of the number of requests. */
  readonly baseRetriesPerWindow: number;
  readonly windowMilliseconds: number;
}

/** Share of the retries per request that is used, because a request may fall just outside of the window. */
const PER_REQUEST_SAFETY_FACTOR = 0.85;
/** Share of the base retries that is used: windows slide, and entry VMs do not see each other's retries. */
const BASE_SAFETY_FACTOR = 0.45;
/** Share of this entry VM's base retries that the bucket can hold; it holds at least one retry. */
const BURST_SHARE = 0.5;

interface Bucket {
  tokens: number;
  refilledAt: number;
}

/** Token buckets with this entry VM's share of the retry budget, one for each service. */
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
      bucket.tokens + this.#options.retriesPerRequest * PER_REQUEST_SAFETY_FACTOR,
    );
  }

  /** Takes one retry out of the budget. @returns false if the budget is exhausted. */
  tryTake(service: string): boolean {
    const bucket = this.#bucket(service);
    const now = performance.now();
    const refill = ((now - bucket.refilledAt) / this.#options.windowMilliseconds) * this.#baseRetriesOfVm();
    bucket.tokens = Math.min(this.#capacity(), bucket.tokens + refill);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  #baseRetriesOfVm(): number {
    return (this.#options.baseRetriesPerWindow * BASE_SAFETY_FACTOR) / Math.max(1, this.#entryVmCount());
  }

  #capacity(): number {
    return Math.max(1, this.#baseRetriesOfVm() * BURST_SHARE);
  }

  #bucket(service: string): Bucket {
    const existing = this.#buckets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const bucket: Bucket = { tokens: this.#capacity(), refilledAt: performance.now() };
    this.#buckets.set(service, bucket);
    return bucket;
  }
}
