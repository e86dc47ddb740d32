/** Bounds retries to a share of the first attempts, so that retries cannot multiply an overload. */
export class RetryBudget {
  readonly #sharePerRequest: number;
  readonly #maximumTokens: number;
  #tokens: number;

  /**
   * @param sharePerRequest retries earned by each first attempt.
   * @param maximumTokens retries that may be saved up.
   */
  constructor(sharePerRequest: number, maximumTokens: number) {
    this.#sharePerRequest = sharePerRequest;
    this.#maximumTokens = maximumTokens;
    this.#tokens = maximumTokens;
  }

  recordRequest(): void {
    this.#tokens = Math.min(this.#maximumTokens, this.#tokens + this.#sharePerRequest);
  }

  /** Takes one retry out of the budget. @returns false when the budget is spent. */
  tryTake(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
