/** Average time that is assumed before the first response, in milliseconds. */
const ASSUMED_MILLISECONDS = 100;
/** Weight of a new sample in the average. */
const AVERAGE_WEIGHT = 0.05;
/** Weight of a new sample in the spread. */
const SPREAD_WEIGHT = 0.02;
/** Factor on the typical time beyond which a request says that its server has changed rather than how times spread. */
const MAX_SPREAD_FACTOR = 4;

/** Times of requests at all servers of a service that one scheduler knows. */
export class ServiceProcessingTimes {
  #averageMilliseconds: number;
  #meanFactor = 1;

  /** @param assumedMilliseconds average time that is assumed before the first response. */
  constructor(assumedMilliseconds = ASSUMED_MILLISECONDS) {
    this.#averageMilliseconds = assumedMilliseconds;
  }

  get averageMilliseconds(): number {
    return this.#averageMilliseconds;
  }

  /** Average time of a request, as a multiple of the typical time at its server. Few that take long raise the average. */
  get meanFactor(): number {
    return this.#meanFactor;
  }

  record(milliseconds: number): void {
    this.#averageMilliseconds += AVERAGE_WEIGHT * (milliseconds - this.#averageMilliseconds);
  }

  /** @param factor time of a request, as a multiple of the typical time at its server. */
  recordSpread(factor: number): void {
    const change = Math.min(factor, MAX_SPREAD_FACTOR) - this.#meanFactor;
    this.#meanFactor = Math.max(1, this.#meanFactor + SPREAD_WEIGHT * change);
  }
}
