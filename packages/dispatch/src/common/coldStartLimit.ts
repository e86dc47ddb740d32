/** Bound on the requests that a cold server gets in any second: a multiple of the rate that it bears, and a number more. */
export interface ColdStartBound {
  readonly factor: number;
  readonly slack: number;
}

/** What one coordinator may send to a cold server. */
export interface ColdStartBudget {
  readonly requestsPerSecond: number;
  /** Requests that may start at once after a pause; at least 1. */
  readonly burst: number;
}

/** A cold server gets a request now and then even if the bound is below this, in requests a second. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Time without a request for the server after which the budget starts from zero, in milliseconds. */
const IDLE_MILLISECONDS = 1_000;

/**
 * The budget of one coordinator, such that a second one that takes over stays within the bound together with it. The
 * second one starts from zero, and spends at most the rate in its first second.
 */
export function coldStartBudget(requestsPerSecond: number, bound?: ColdStartBound): ColdStartBudget {
  if (bound === undefined) {
    return { requestsPerSecond, burst: 1 };
  }
  const perSecond = requestsPerSecond * bound.factor + bound.slack;
  const rate = Math.max(MIN_REQUESTS_PER_SECOND, Math.min(requestsPerSecond, (perSecond - 1) / 2));
  return { requestsPerSecond: rate, burst: Math.max(1, (perSecond - 2 * rate) / 2) };
}

/**
 * Whether a server is cold, and how many requests it may get meanwhile. Load pattern: a server starts, or becomes cold
 * again, while callers send it more than it bears. The budget is spent evenly. A coordinator that was not asked about the
 * server lately starts from zero, since another one may have spent its own.
 */
export class ColdStartLimit {
  #budget: ColdStartBudget | undefined;
  #endsAt = Number.NEGATIVE_INFINITY;
  #available = 0;
  #countedAt = Number.NEGATIVE_INFINITY;

  /** @param budget undefined if the server bears any rate while it is cold. */
  constructor(budget: ColdStartBudget | undefined) {
    this.#budget = budget;
  }

  /** Replaces the budget, after a change of the configuration. */
  setBudget(budget: ColdStartBudget | undefined): void {
    this.#budget = budget;
  }

  /** Records for how long the server stays cold. */
  recordWarmup(milliseconds: number, now: number): void {
    this.#endsAt = now + milliseconds;
  }

  /** Records a time for which the server stays cold, unless a longer one is known. */
  extendWarmup(milliseconds: number, now: number): void {
    this.#endsAt = Math.max(this.#endsAt, now + milliseconds);
  }

  isCold(now: number): boolean {
    return now < this.#endsAt;
  }

  /** The rate in force; undefined if there is none. */
  requestsPerSecond(now: number): number | undefined {
    return this.isCold(now) ? this.#budget?.requestsPerSecond : undefined;
  }

  /** Number of requests that may start now. */
  available(now: number): number {
    if (this.#budget === undefined || !this.isCold(now)) {
      return Number.POSITIVE_INFINITY;
    }
    this.#count(this.#budget, now);
    return Math.floor(this.#available);
  }

  /** Counts a request that starts. */
  start(now: number): void {
    if (this.#budget !== undefined && this.isCold(now)) {
      this.#count(this.#budget, now);
      this.#available -= 1;
    }
  }

  #count({ requestsPerSecond, burst }: ColdStartBudget, now: number): void {
    const elapsed = now - this.#countedAt;
    this.#available =
      elapsed > IDLE_MILLISECONDS
        ? Math.min(0, this.#available)
        : Math.min(burst, this.#available + (elapsed * requestsPerSecond) / 1_000);
    this.#countedAt = now;
  }
}
