import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import { type RequestOutcome, statusOf } from './requestOutcome.js';
import { OutcomeWindows, windowMinutes } from './outcomeWindows.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const FIRST_SERVER_ERROR = 500;
const PERCENTILE_50 = 50;
const PERCENTILE_99 = 99;
const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;

/** Statistics of one service since the process started. */
export interface ServiceStatistics {
  readonly service: string;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests that met the objective: answered within `withinMilliseconds`. */
  readonly good: number;
  readonly objectiveShare: number;
  readonly withinMilliseconds: number;
  readonly windows: { minutes: number; total: number; good: number }[];
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  /** Encoded histogram of latencies in microseconds, to be merged with those of other entry VMs. */
  readonly encodedLatency: string;
}

/** Creates a histogram of latencies in microseconds. All histograms have the same range, so they can be merged. */
export function createLatencyHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 });
}

interface ServiceEntry {
  readonly latency: Histogram;
  readonly windows: OutcomeWindows;
  objective: ServiceFile['objective'];
  answered: number;
  notRun: number;
  unknown: number;
  good: number;
}

/** Records the latencies and outcomes of every service at this entry VM. */
export class ServiceMetrics {
  readonly #services = new Map<string, ServiceEntry>();

  record(service: ServiceFile, outcome: RequestOutcome, elapsedMilliseconds: number): void {
    const entry = this.#entry(service);
    entry.objective = service.objective;
    if (countsForObjective(outcome)) {
      entry.windows.record(isGood(service, outcome, elapsedMilliseconds));
    }
    entry.latency.recordValue(Math.max(1, Math.round(elapsedMilliseconds * MICROSECONDS_PER_MILLISECOND)));
    switch (outcome.kind) {
      case 'answered':
        entry.answered += 1;
        entry.good += isGood(service, outcome, elapsedMilliseconds) ? 1 : 0;
        break;
      case 'not-run':
        entry.notRun += 1;
        break;
      case 'unknown':
        entry.unknown += 1;
    }
  }

  /** Statistics of every service that has received requests. */
  read(): readonly ServiceStatistics[] {
    return [...this.#services].map(([service, entry]) => ({
      service,
      answered: entry.answered,
      notRun: entry.notRun,
      unknown: entry.unknown,
      good: entry.good,
      objectiveShare: entry.objective.share,
      withinMilliseconds: entry.objective.withinMilliseconds,
      windows: windowMinutes.map((minutes) => ({ minutes, ...entry.windows.count(minutes) })),
      p50Milliseconds: entry.latency.getValueAtPercentile(PERCENTILE_50) / MICROSECONDS_PER_MILLISECOND,
      p99Milliseconds: entry.latency.getValueAtPercentile(PERCENTILE_99) / MICROSECONDS_PER_MILLISECOND,
      encodedLatency: encodeIntoCompressedBase64(entry.latency),
    }));
  }

  #entry(service: ServiceFile): ServiceEntry {
    const known = this.#services.get(service.name);
    if (known !== undefined) {
      return known;
    }
    const latency = createLatencyHistogram();
    const entry: ServiceEntry = {
      latency,
      windows: new OutcomeWindows(),
      objective: service.objective,
      answered: 0,
      notRun: 0,
      unknown: 0,
      good: 0,
    };
    this.#services.set(service.name, entry);
    return entry;
  }
}

function isGood(service: ServiceFile, outcome: RequestOutcome, elapsedMilliseconds: number): boolean {
  return outcome.kind === 'answered' && elapsedMilliseconds <= service.objective.withinMilliseconds;
}

/** Whether an outcome counts towards the objective. Invalid requests of callers do not use up the error budget. */
function countsForObjective(outcome: RequestOutcome): boolean {
  return outcome.kind !== 'not-run' || statusOf(outcome) >= FIRST_SERVER_ERROR;
}
