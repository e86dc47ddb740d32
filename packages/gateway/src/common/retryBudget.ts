/** Limits retries to a share of the first attempts, so that retries do not amplify an overload. */
export class RetryBudget {
  readonly #retriesPerRequest: number;
  readonly #maximumTokens: number;
  #tokens: number;

  /**
   * @param retriesPerRequest retries added to the budget by each first attempt.
   * @param maximumTokens maximum of unused retries; also the initial budget.
   */
  constructor(retriesPerRequest: number, maximumTokens: number) {
    this.#retriesPerRequest = retriesPerRequest;
    this.#maximumTokens = maximumTokens;
    this.#tokens = maximumTokens;
  }

  recordRequest(): void {
    this.#tokens = Math.min(this.#maximumTokens, this.#tokens + this.#retriesPerRequest);
  }

  /** Takes one retry out of the budget. @returns false if none is left. */
  tryTake(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
