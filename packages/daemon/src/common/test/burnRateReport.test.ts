import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { buildBurnRateReport } from '../burnRateReport.js';
import { formatBurnRatePage } from '../burnRatePage.js';
import { formatBurnRateTable } from '../burnRateTable.js';
import type { EntryVmStatus } from '../entryVmStatus.js';

function createStatus(id: string, total: number, good: number, milliseconds: number): EntryVmStatus {
  const latency = build();
  latency.recordValue(milliseconds * 1_000);
  return {
    id,
    incarnation: id,
    availabilityZone: 'hr-1',
    isReady: true,
    inFlight: 0,
    configurationRevision: 1,
    eventLoopDelayP99Milliseconds: 1,
    residentBytes: 1,
    groups: [],
    services: [
      {
        service: 'catalogue',
        answered: good,
        notRun: total - good,
        unknown: 0,
        good,
        objectiveShare: 0.99,
        withinMilliseconds: 100,
        windows: [{ minutes: 5, total, good }],
        p50Milliseconds: milliseconds,
        p99Milliseconds: milliseconds,
        encodedLatency: encodeIntoCompressedBase64(latency),
      },
    ],
  };
}

describe('the burn rate report', () => {
  const report = buildBurnRateReport(
    [createStatus('vm-1', 100, 100, 5), createStatus('vm-2', 100, 96, 50)],
    ['10.0.0.9:9090'],
  );

  it('merges the counts of all entry VMs into one burn rate', () => {
    const window = report.services[0]?.windows[0];
    assert.is(window?.total, 200);
    assert.is(window?.burnRate.toFixed(3), '2.000');
  });

  it('merges the latency histograms', () => {
    const latency = report.services[0]?.latency ?? [];
    assert.is(Math.round(latency.find(({ percentile }) => percentile === 50)?.milliseconds ?? 0), 5);
    assert.is(Math.round(latency.find(({ percentile }) => percentile === 99)?.milliseconds ?? 0), 50);
  });

  it('lists the entry VMs that were not reached in the table and on the page', () => {
    assert.match(formatBurnRateTable(report), /not reached: 10\.0\.0\.9:9090/);
    assert.match(formatBurnRatePage(report, new Date(0)), /missing from: 10\.0\.0\.9:9090/);
  });

  it('formats a self-contained page', () => {
    const page = formatBurnRatePage(report, new Date(0));
    assert.not.match(page, /<(script|link|img)\b/);
    assert.match(page, /<svg /);
  });
});
