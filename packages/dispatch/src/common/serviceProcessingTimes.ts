/** Least time that is assumed for a request before the first response, in milliseconds. */
const MIN_ASSUMED_MILLISECONDS = 100;
const MAX_ASSUMED_MILLISECONDS = 1_000;
/** Latency goals are usually set to a few times the processing time. */
const ASSUMED_SHARE_OF_GOAL = 0.25;
/** Weight of a new sample in the average. The first samples weigh more. */
const AVERAGE_WEIGHT = 0.05;
/** Weight of a new sample in the spread. */
const SPREAD_WEIGHT = 0.02;
/** Factor on the typical time beyond which a request says that its server has changed rather than how times spread. */
const MAX_SPREAD_FACTOR = 4;

/**
 * Times of requests at all servers of a service that one scheduler knows. Load pattern: a coordinator starts amid full
 * traffic, and has no response yet when it decides about the first hundreds of requests. If it took them for short, it
 * would queue more than can be answered in time, and all would be late.
 */
export class ServiceProcessingTimes {
  #averageMilliseconds: number;
  #sampleCount = 0;
  #meanFactor = 1;

  /** @param assumedMilliseconds average time that is assumed before the first response, unless goals suggest a longer one. */
  constructor(assumedMilliseconds = MIN_ASSUMED_MILLISECONDS) {
    this.#averageMilliseconds = assumedMilliseconds;
  }

  get averageMilliseconds(): number {
    return this.#averageMilliseconds;
  }

  /** Average time of a request, as a multiple of the typical time at its server. Few that take long raise the average. */
  get meanFactor(): number {
    return this.#meanFactor;
  }

  /** Takes note of the latency goal of a request, which is all that is known before the first response. */
  assumeFromGoal(millisecondsToGoal: number): void {
    if (this.#sampleCount === 0) {
      const assumed = Math.min(MAX_ASSUMED_MILLISECONDS, ASSUMED_SHARE_OF_GOAL * millisecondsToGoal);
      this.#averageMilliseconds = Math.max(this.#averageMilliseconds, assumed);
    }
  }

  record(milliseconds: number): void {
    const weight = Math.max(AVERAGE_WEIGHT, 1 / (this.#sampleCount + 2));
    this.#averageMilliseconds += weight * (milliseconds - this.#averageMilliseconds);
    this.#sampleCount += 1;
  }

  /** @param factor time of a request, as a multiple of the typical time at its server. */
  recordSpread(factor: number): void {
    const change = Math.min(factor, MAX_SPREAD_FACTOR) - this.#meanFactor;
    this.#meanFactor = Math.max(1, this.#meanFactor + SPREAD_WEIGHT * change);
  }
}
