import { decodeFromCompressedBase64 } from 'hdr-histogram-js';
import { createLatencyHistogram } from '@hickoryhoist/gateway/common/serviceMetrics.js';
import type { EntryVmStatus } from './entryVmStatus.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Percentiles of the latency distribution in a report. */
export const reportedPercentiles = [50, 75, 90, 95, 99, 99.9] as const;

/** Error budget use in one window. At a burn rate of 1 the budget lasts exactly for the objective's period. */
export interface WindowBurnRate {
  readonly minutes: number;
  readonly total: number;
  readonly good: number;
  readonly burnRate: number;
}

/** Latency at one percentile, in milliseconds. */
export interface LatencyPoint {
  readonly percentile: number;
  readonly milliseconds: number;
}

/** Burn rates and latency of one service over all entry VMs that responded. */
export interface ServiceBurnRates {
  readonly service: string;
  readonly objectiveShare: number;
  readonly withinMilliseconds: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly windows: readonly WindowBurnRate[];
  readonly latency: readonly LatencyPoint[];
}

/** Burn rates and latency of all services. */
export interface BurnRateReport {
  readonly services: readonly ServiceBurnRates[];
  readonly reached: readonly string[];
  /** Operator addresses of the entry VMs that did not respond. */
  readonly missing: readonly string[];
}

type ServiceStatus = EntryVmStatus['services'][number];

/** Merges the status of several entry VMs into one report. */
export function buildBurnRateReport(
  statuses: readonly EntryVmStatus[],
  missing: readonly string[],
): BurnRateReport {
  const byService = new Map<string, ServiceStatus[]>();
  for (const service of statuses.flatMap(({ services }) => services)) {
    byService.set(service.service, [...(byService.get(service.service) ?? []), service]);
  }
  return {
    services: [...byService]
      .sort(([left], [right]) => left.localeCompare(right))
      .map(([name, ofService]) => mergeService(name, ofService)),
    reached: statuses.map(({ id }) => id),
    missing,
  };
}

function mergeService(service: string, statuses: readonly ServiceStatus[]): ServiceBurnRates {
  const first = statuses[0];
  const objectiveShare = first?.objectiveShare ?? 1;
  const minutes = first?.windows.map((window) => window.minutes) ?? [];
  return {
    service,
    objectiveShare,
    withinMilliseconds: first?.withinMilliseconds ?? 0,
    answered: sum(statuses, ({ answered }) => answered),
    notRun: sum(statuses, ({ notRun }) => notRun),
    unknown: sum(statuses, ({ unknown }) => unknown),
    windows: minutes.map((length) => mergeWindow(statuses, length, objectiveShare)),
    latency: mergeLatency(statuses),
  };
}

function mergeWindow(
  statuses: readonly ServiceStatus[],
  minutes: number,
  objectiveShare: number,
): WindowBurnRate {
  const windows = statuses.flatMap((status) => status.windows.filter((window) => window.minutes === minutes));
  const total = windows.reduce((sum, window) => sum + window.total, 0);
  const good = windows.reduce((sum, window) => sum + window.good, 0);
  const errorRate = total === 0 ? 0 : 1 - good / total;
  return { minutes, total, good, burnRate: errorRate / (1 - objectiveShare) };
}

function mergeLatency(statuses: readonly ServiceStatus[]): readonly LatencyPoint[] {
  const merged = createLatencyHistogram();
  for (const { encodedLatency } of statuses) {
    merged.add(decodeFromCompressedBase64(encodedLatency));
  }
  return reportedPercentiles.map((percentile) => ({
    percentile,
    milliseconds: merged.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND,
  }));
}

function sum(statuses: readonly ServiceStatus[], valueOf: (status: ServiceStatus) => number): number {
  return statuses.reduce((total, status) => total + valueOf(status), 0);
}
