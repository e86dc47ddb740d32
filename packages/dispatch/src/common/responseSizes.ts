/** Weight of the newest response in the mean of its route. */
const SMOOTHING = 0.1;
/** Routes that are remembered; a configuration with more of them has the oldest forgotten. */
const MAX_ROUTES = 1_000;

/**
 * Mean sizes of the responses of each route, as learned from those that passed through this process. Load pattern: a
 * route serves small and large responses by turns, and configurations replace routes; the mean follows within some tens
 * of responses.
 */
export class ResponseSizes {
  readonly #meanBytes = new Map<string, number>();

  record(route: string, bytes: number): void {
    const mean = this.#meanBytes.get(route);
    this.#meanBytes.delete(route);
    this.#meanBytes.set(route, mean === undefined ? bytes : mean + SMOOTHING * (bytes - mean));
    if (this.#meanBytes.size > MAX_ROUTES) {
      this.#meanBytes.delete(this.#meanBytes.keys().next().value ?? '');
    }
  }

  /** @returns the mean in whole bytes; 0 for a route without responses. */
  expectedBytes(route: string): number {
    return Math.round(this.#meanBytes.get(route) ?? 0);
  }
}
