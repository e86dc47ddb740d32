import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import {
  checkBrokenEarlyResponses,
  checkEndlessResponse,
  checkEndlessResponsesTogether,
  checkFaultSequences,
  checkInvalidStatuses,
  checkTruncatedHeads,
  endlessBehaviourNames,
  type TransportUnderTest,
  type TryResult,
} from '@hickoryhoist/standIns/node/faultyServerChecks.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { AttemptResult } from '../../common/serverTransport.js';
import { ConnectionPool } from '../connectionPool.js';

const CONNECTION_LIMIT = 500;
const ANSWER_LIMIT_BYTES = 8_388_608;

const dialect = {
  requestIdHeader: headerNames.requestId,
  successHeaders: '',
  refusalStatusLine: 'HTTP/1.1 421 Misdirected Request\r\n',
  refusalHeaders: `${headerNames.refusal}: shed\r\n`,
};

/** Half of the memory of the smallest VM of the users' platform, which has 210 MB. */
const MAX_GROWTH_MEBIBYTES = 100;

function createTransport(): TransportUnderTest {
  const pool = new ConnectionPool();
  return {
    send: async (address, requestId, timeoutMilliseconds, body = Buffer.from('body')) =>
      toTryResult(
        await pool.send({
          address,
          method: 'POST',
          target: '/',
          headers: { [headerNames.requestId]: requestId },
          body,
          requestId,
          isIdempotent: false,
          timeoutMilliseconds,
          answerLimitBytes: ANSWER_LIMIT_BYTES,
          connectionLimit: CONNECTION_LIMIT,
          signal: new AbortController().signal,
          mayStillSend: () => true,
        }),
      ),
    dispose: () => {
      pool.dispose();
    },
  };
}

function toTryResult(result: AttemptResult): TryResult {
  switch (result.kind) {
    case 'answered':
      return { kind: 'answered', status: result.status, body: result.body.toString() };
    case 'lost':
      return { kind: 'lost', reason: result.cause };
    case 'refused':
    case 'not-written':
      return { kind: result.kind };
  }
}

describe('a faulty server', () => {
  it('never makes a request run twice, look as if it was not run, or get a response not its own', () =>
    checkFaultSequences(dialect, createTransport, { count: 150, seed: 1 }));

  it('never makes a response that ends within its head look whole', () =>
    checkTruncatedHeads(dialect, createTransport));

  describe('whose response has no end', () => {
    for (const name of endlessBehaviourNames(dialect)) {
      it(`is cut off: ${name}`, () => checkEndlessResponse(dialect, createTransport, name));
    }

    it('takes bounded memory from 200 requests at once, and none from another request', () =>
      checkEndlessResponsesTogether(dialect, createTransport, 200, MAX_GROWTH_MEBIBYTES));
  });

  // The checks below hold long uploads, which changes when the process collects memory; so they follow the one above.

  // Guards against a part of a response that reaches the caller as a complete success.
  it('never makes a response without a length to an upload look whole when its connection is reset', () =>
    checkBrokenEarlyResponses(dialect, createTransport));

  // Guards against a response with status 000 that reaches the caller, or that is waited for until the deadline.
  it('never makes a response with an invalid status look like one', () =>
    checkInvalidStatuses(dialect, createTransport));
});
