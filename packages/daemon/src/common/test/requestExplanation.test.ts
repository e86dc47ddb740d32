import * as assert from 'uvu/assert';
import { formatLogLine, parseLogLine } from '@hickoryhoist/base/common/logger.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { explainRequest, formatExplanation, readLog } from '../requestExplanation.js';

function line(second: number, event: string, fields: Record<string, string | number>): string {
  const time = new Date(second * 1_000).toISOString();
  return `time=${time} ${formatLogLine(event, { level: 'info', component: 'entry-vm', ...fields })}`;
}

const first = readLog(
  'vm-1.log',
  [
    line(1, 'store-unreachable', { reason: 'long ago' }),
    line(50, 'slot-refused', {
      request: 'loan-1',
      coordinator: 'vm-2',
      expectedWaitMilliseconds: 420,
      expectedWorkMilliseconds: 300,
      goalLeft: 500,
      left: 1_400,
    }),
    line(50, 'request-ended', { request: 'loan-1', status: 503, outcome: 'not-run', reason: 'overloaded' }),
    line(51, 'attempt-failed', { request: 'loan-2', server: 'i-7', result: 'lost', milliseconds: 212 }),
    line(51, 'request-ended', {
      request: 'loan-2',
      status: 502,
      outcome: 'unknown',
      reason: 'connection-lost',
    }),
    line(52, 'request-ended', {
      request: 'look-3',
      key: 5,
      status: 503,
      outcome: 'not-run',
      reason: 'no-owner',
    }),
    'a line in another format',
  ].join('\n'),
);
const second = readLog(
  'vm-2.log',
  [
    line(49, 'lease-revoked', { owner: 'i-9', reason: 'server unresponsive' }),
    line(53, 'server-missing', { server: 'i-7' }),
  ].join('\n'),
);
const records = [...second, ...first];

describe('the explanation of a request', () => {
  it('states the estimates behind a refusal under load', () => {
    const { verdict, own, around } = explainRequest('loan-1', records);
    assert.match(verdict, /^Refused under load, not run: vm-2 expected a wait of 420 ms/);
    assert.is(own.length, 2);
    assert.is(around.length, 0);
  });

  it('names the rate that the server had asked for', () => {
    const log = [
      line(10, 'slot-refused', { request: 'look-9', server: 'i-9', statedRequestsPerSecond: '1.8' }),
      line(11, 'request-ended', { request: 'look-9', outcome: 'not-run', reason: 'overloaded' }),
    ];
    const { verdict } = explainRequest('look-9', readLog('vm-1.log', log.join('\n')));
    assert.match(verdict, /Server i-9 had asked for at most 1\.8 requests a second\.$/);
  });

  it('includes lines about the unresponsive server from any entry VM', () => {
    const { verdict, around } = explainRequest('loan-2', records);
    assert.match(verdict, /^Sent to server i-7, .* It may have run\.$/);
    assert.equal(
      around.map(({ source, fields }) => `${source} ${fields.event ?? ''}`),
      ['vm-2.log server-missing'],
    );
  });

  it('includes changes of owners near a request whose key has none', () => {
    const { verdict, around } = explainRequest('look-3', records);
    assert.match(verdict, /no server owned its key/);
    assert.equal(
      around.map(({ fields }) => fields.event),
      ['lease-revoked'],
    );
  });

  it('is formatted in order, with free-text fields as logged', () => {
    const lines = formatExplanation(explainRequest('look-3', records)).split('\n');
    assert.match(
      lines[1] ?? '',
      /^ {3}-3000 ms {2}vm-2\.log {2}lease-revoked {2}owner=i-9 reason=server unresponsive$/,
    );
    assert.match(lines[2] ?? '', /^\* {6}0 ms {2}vm-1\.log {2}request-ended/);
  });

  it('states that no log contains the request', () => {
    assert.match(explainRequest('nobody', records).verdict, /^No log names this request/);
  });
});

describe('a log line', () => {
  it('is parsed as it was formatted', () => {
    const fields = { reason: 'he said "no" to a=b', empty: '', count: 7 };
    assert.equal(parseLogLine(formatLogLine('refused', fields)), {
      event: 'refused',
      reason: 'he said "no" to a=b',
      empty: '',
      count: '7',
    });
    assert.is(parseLogLine('not a log line'), undefined);
  });
});
