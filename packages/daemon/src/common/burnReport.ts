import { decodeFromCompressedBase64 } from 'hdr-histogram-js';
import { createLatencyHistogram } from '@hickoryhoist/gateway/common/serviceMetrics.js';
import type { EntryVmStatus } from './entryVmStatus.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Percentiles of the latency curve in a report. */
export const reportedPercentiles = [50, 75, 90, 95, 99, 99.9] as const;

/** How fast one window uses up the error budget; 1 uses it up exactly by the end of the objective's period. */
export interface WindowBurn {
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

/** Service-level burn of one service over all entry VMs that could be reached. */
export interface ServiceBurn {
  readonly service: string;
  readonly objectiveShare: number;
  readonly withinMilliseconds: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly windows: readonly WindowBurn[];
  readonly latency: readonly LatencyPoint[];
}

/** Service-level burn of all services. */
export interface BurnReport {
  readonly services: readonly ServiceBurn[];
  readonly reached: readonly string[];
  /** Addresses of entry VMs whose figures are missing. */
  readonly missing: readonly string[];
}

type ServiceStatus = EntryVmStatus['services'][number];

/** Merges the status of several entry VMs. */
export function buildBurnReport(statuses: readonly EntryVmStatus[], missing: readonly string[]): BurnReport {
  const byService = new Map<string, ServiceStatus[]>();
  for (const service of statuses.flatMap(({ services }) => services)) {
    byService.set(service.service, [...(byService.get(service.service) ?? []), service]);
  }
  return {
    services: [...byService]
      .sort(([left], [right]) => left.localeCompare(right))
      .map(([name, parts]) => merge(name, parts)),
    reached: statuses.map(({ id }) => id),
    missing,
  };
}

function merge(service: string, parts: readonly ServiceStatus[]): ServiceBurn {
  const newest = parts[0];
  const objectiveShare = newest?.objectiveShare ?? 1;
  const minutes = newest?.windows.map((window) => window.minutes) ?? [];
  return {
    service,
    objectiveShare,
    withinMilliseconds: newest?.withinMilliseconds ?? 0,
    answered: sum(parts, ({ answered }) => answered),
    notRun: sum(parts, ({ notRun }) => notRun),
    unknown: sum(parts, ({ unknown }) => unknown),
    windows: minutes.map((length) => mergeWindow(parts, length, objectiveShare)),
    latency: mergeLatency(parts),
  };
}

function mergeWindow(parts: readonly ServiceStatus[], minutes: number, objectiveShare: number): WindowBurn {
  const windows = parts.flatMap((part) => part.windows.filter((window) => window.minutes === minutes));
  const total = windows.reduce((left, window) => left + window.total, 0);
  const good = windows.reduce((left, window) => left + window.good, 0);
  const badShare = total === 0 ? 0 : 1 - good / total;
  return { minutes, total, good, burnRate: badShare / (1 - objectiveShare) };
}

function mergeLatency(parts: readonly ServiceStatus[]): readonly LatencyPoint[] {
  const merged = createLatencyHistogram();
  for (const { encodedLatency } of parts) {
    merged.add(decodeFromCompressedBase64(encodedLatency));
  }
  return reportedPercentiles.map((percentile) => ({
    percentile,
    milliseconds: merged.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND,
  }));
}

function sum(parts: readonly ServiceStatus[], pick: (part: ServiceStatus) => number): number {
  return parts.reduce((left, part) => left + pick(part), 0);
}
