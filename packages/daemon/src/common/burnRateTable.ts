import type { BurnRateReport, ServiceBurnRates } from './burnRateReport.js';

const COLUMN_WIDTH = 15;
const SERVICE_WIDTH = 22;

/** Formats a report as a table for a terminal. */
export function formatBurnRateTable(report: BurnRateReport): string {
  const minutes = report.services[0]?.windows.map((window) => window.minutes) ?? [];
  const heads = [
    'objective',
    ...minutes.map((length) => `burn ${length.toString()} min`),
    'p99',
    'unknown',
    'not run',
  ];
  const header = row('service', heads);
  const rows = report.services.map((service) => row(service.service, cells(service)));
  const missing = report.missing.length === 0 ? [] : [`missing, not reached: ${report.missing.join(', ')}`];
  return [header, ...rows, `entry VMs: ${report.reached.join(', ')}`, ...missing].join('\n');
}

function cells(service: ServiceBurnRates): readonly string[] {
  const p99 = service.latency.find(({ percentile }) => percentile === 99)?.milliseconds ?? 0;
  return [
    `${(service.objectiveShare * 100).toString()} %`,
    ...service.windows.map(({ burnRate, total }) => (total === 0 ? '-' : burnRate.toFixed(2))),
    `${p99.toFixed(1)} ms`,
    service.unknown.toString(),
    service.notRun.toString(),
  ];
}

function row(service: string, columns: readonly string[]): string {
  return service.padEnd(SERVICE_WIDTH) + columns.map((column) => column.padStart(COLUMN_WIDTH)).join('');
}
