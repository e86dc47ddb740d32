import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Outcome } from './outcome.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;

/** Counts of one service since the process started. */
export interface ServiceCounts {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests that were answered truthfully within the objective's time. */
  readonly good: number;
}

interface ServiceEntry {
  readonly latency: Histogram;
  answered: number;
  notRun: number;
  unknown: number;
  good: number;
}

/** Latency and outcomes of every service at one entry VM. */
export class ServiceMetrics {
  readonly #services = new Map<string, ServiceEntry>();

  record(service: ServiceFile, outcome: Outcome, elapsedMilliseconds: number): void {
    const entry = this.#entry(service.name);
    entry.latency.recordValue(Math.max(1, Math.round(elapsedMilliseconds * MICROSECONDS_PER_MILLISECOND)));
    switch (outcome.kind) {
      case 'answered':
        entry.answered += 1;
        entry.good += elapsedMilliseconds <= service.objective.withinMilliseconds ? 1 : 0;
        break;
      case 'not-run':
        entry.notRun += 1;
        break;
      case 'unknown':
        entry.unknown += 1;
    }
  }

  get serviceNames(): readonly string[] {
    return [...this.#services.keys()];
  }

  counts(service: string): ServiceCounts {
    const { answered, notRun, unknown, good } = this.#entry(service);
    return { answered, notRun, unknown, good };
  }

  /** Latency at a percentile, in milliseconds. */
  latency(service: string, percentile: number): number {
    return this.#entry(service).latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }

  /** Serialised histogram of latencies in microseconds, for merging. */
  encodedLatency(service: string): string {
    return encodeIntoCompressedBase64(this.#entry(service).latency);
  }

  #entry(service: string): ServiceEntry {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const latency = build({
      highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
      numberOfSignificantValueDigits: 3,
    });
    const entry: ServiceEntry = { latency, answered: 0, notRun: 0, unknown: 0, good: 0 };
    this.#services.set(service, entry);
    return entry;
  }
}
