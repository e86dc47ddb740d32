import type { EntryVmStatus } from '../common/entryVmStatus.js';

/** Formats the status of an entry VM as metrics, one `name{labels} value` per line. */
export function formatMetrics(status: EntryVmStatus): string {
  const lines = [
    metric('hickoryhoist_ready', {}, status.isReady ? 1 : 0),
    metric('hickoryhoist_configuration_revision', {}, status.configurationRevision),
    metric('hickoryhoist_event_loop_delay_p99_milliseconds', {}, status.eventLoopDelayP99Milliseconds),
    metric('hickoryhoist_resident_bytes', {}, status.residentBytes),
    ...status.groups.flatMap(({ group, revision, term, isStoreReachable }) => [
      metric('hickoryhoist_assignment_revision', { group }, revision),
      metric('hickoryhoist_assigner_term', { group }, term),
      metric('hickoryhoist_store_reachable', { group }, isStoreReachable ? 1 : 0),
    ]),
    ...status.services.flatMap(({ service, answered, notRun, unknown, p50Milliseconds, p99Milliseconds }) => [
      metric('hickoryhoist_requests', { service, outcome: 'answered' }, answered),
      metric('hickoryhoist_requests', { service, outcome: 'not-run' }, notRun),
      metric('hickoryhoist_requests', { service, outcome: 'unknown' }, unknown),
      metric('hickoryhoist_latency_milliseconds', { service, quantile: '0.5' }, p50Milliseconds),
      metric('hickoryhoist_latency_milliseconds', { service, quantile: '0.99' }, p99Milliseconds),
    ]),
  ];
  return `${lines.join('\n')}\n`;
}

function metric(name: string, labels: Readonly<Record<string, string>>, value: number): string {
  const pairs = Object.entries(labels).map(([key, text]) => `${key}="${text}"`);
  const suffix = pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
  return `${name}${suffix} ${value.toString()}`;
}
