import { defaultResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
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
import { noStatements } from '../../common/serverStatements.js';
import type { ServerCallResult, ServerProtocol } from '../../common/serverCall.js';
import { ServerConnectionPool } from '../serverConnectionPool.js';

const ID_HEADER = 'request-id';
const NOT_RUN_STATUSES = [421, 503];

const protocol: ServerProtocol = {
  requestHeaders: ({ requestId }) => ({ [ID_HEADER]: requestId }),
  responseRequestId: (headers) => {
    const value = headers[ID_HEADER];
    return typeof value === 'string' ? value : undefined;
  },
  refusal: (_status, headers) => (headers['not-run'] === undefined ? undefined : 'overloaded'),
  statements: () => noStatements,
  isGenuine: (status, headers) =>
    status === 200 ? headers.signature !== undefined : !NOT_RUN_STATUSES.includes(status),
};

const dialect = {
  requestIdHeader: ID_HEADER,
  successHeaders: 'signature: s\r\n',
  refusalStatusLine: 'HTTP/1.1 503 Service Unavailable\r\n',
  refusalHeaders: 'not-run: 1\r\n',
};

/** Half of the memory of the smallest VM of the users' platform, which has 210 MB. */
const MAX_GROWTH_MEBIBYTES = 100;

function createTransport(): TransportUnderTest {
  const pool = new ServerConnectionPool(protocol, defaultResponseLimits);
  return {
    send: async (address, requestId, timeoutMilliseconds, body = Buffer.from('body')) =>
      toTryResult(
        await pool.call({
          requestId,
          serverId: 'server-1',
          address,
          host: 'example',
          method: 'POST',
          target: '/',
          headers: {},
          body,
          isIdempotent: false,
          timeoutMilliseconds,
          maxIdleConnections: 4,
          signal: new AbortController().signal,
        }),
      ),
    dispose: () => {
      pool.dispose();
    },
  };
}

function toTryResult(result: ServerCallResult): TryResult {
  return result.kind === 'answered'
    ? { kind: 'answered', status: result.status, body: result.body.toString() }
    : result;
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
