import type { ServiceProcessingTimes } from './serviceProcessingTimes.js';

/** Weight of a new sample in the recent time. The first samples weigh more. */
const RECENT_WEIGHT = 0.15;
/**
 * Number of requests that the long-term time covers. Keys are distributed by this time, so it has to be stable although
 * the times of single requests differ by a factor of ten.
 */
const LONG_TERM_SAMPLES = 50;
/**
 * Factor between recent and long-term time beyond which the server itself has changed, so that the long-term time
 * restarts from the recent one.
 */
const LONG_TERM_RESET_FACTOR = 1.8;
/** Shortest time that is told apart, in milliseconds. */
const MIN_MILLISECONDS = 1;

/**
 * Estimates the average time that a server takes for a request. Load pattern: servers differ in speed, and a few requests
 * take many times longer than the others. An average of the last dozen follows each of these, so that a sound server is
 * avoided or loses keys. The typical time, the geometric mean, hardly moves; the spread around it is that of the service.
 */
export class ProcessingTimeEstimator {
  readonly #service: ServiceProcessingTimes;
  /** Typical times, in milliseconds; meaningless before the first sample. */
  #recent = 0;
  #longTerm = 0;
  #sampleCount = 0;

  /** @param service times of all servers of the service; before its first sample a server counts as average. */
  constructor(service: ServiceProcessingTimes) {
    this.#service = service;
  }

  /** Number of samples behind the long-term time, at most the number that it covers. */
  get sampleCount(): number {
    return this.#sampleCount;
  }

  /** Average time over the last dozen of requests, in milliseconds. */
  get recentMilliseconds(): number {
    return this.#sampleCount === 0
      ? this.#service.averageMilliseconds
      : this.#recent * this.#service.meanFactor;
  }

  /** Average time over the last `LONG_TERM_SAMPLES` requests, in milliseconds; meaningless before the first sample. */
  get longTermMilliseconds(): number {
    return this.#longTerm * this.#service.meanFactor;
  }

  add(milliseconds: number): void {
    const sample = Math.max(MIN_MILLISECONDS, milliseconds);
    const expected = Math.max(MIN_MILLISECONDS, this.recentMilliseconds / this.#service.meanFactor);
    this.#service.recordSpread(sample / expected);
    const weight = Math.max(RECENT_WEIGHT, 1 / (this.#sampleCount + 2));
    this.#recent = geometricMean(expected, sample, weight);
    this.#sampleCount = Math.min(this.#sampleCount + 1, LONG_TERM_SAMPLES);
    this.#longTerm =
      this.#sampleCount === 1 ? sample : geometricMean(this.#longTerm, sample, 1 / this.#sampleCount);
    const ratio = this.#recent / this.#longTerm;
    if (ratio > LONG_TERM_RESET_FACTOR || ratio < 1 / LONG_TERM_RESET_FACTOR) {
      this.#longTerm = this.#recent;
    }
  }
}

function geometricMean(mean: number, sample: number, weight: number): number {
  return mean * (sample / mean) ** weight;
}
