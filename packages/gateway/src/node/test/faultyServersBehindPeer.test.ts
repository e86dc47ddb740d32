import { DisposableStore, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import {
  checkBrokenEarlyResponses,
  checkInvalidStatuses,
  type TransportUnderTest,
  type TryResult,
} from '@hickoryhoist/standIns/node/faultyServerChecks.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CrashingRequestDetector } from '../../common/crashingRequestDetector.js';
import { LoadBalancer } from '../../common/loadBalancer.js';
import { RequestExecutor } from '../../common/requestExecutor.js';
import type { AttemptResult } from '../../common/serverTransport.js';
import { ConnectionPool } from '../connectionPool.js';
import { GatewayServer } from '../gatewayServer.js';

const BODY_LIMIT_BYTES = 33_554_432;

const service = serviceFileSchema.parse({
  name: 'uploads',
  kind: 'pooled',
  pathPrefix: '/uploads',
  servers: { role: 'uploads' },
  bodyLimitBytes: BODY_LIMIT_BYTES,
  deadlineMilliseconds: 30_000,
});

const dialect = {
  requestIdHeader: headerNames.requestId,
  successHeaders: '',
  refusalStatusLine: 'HTTP/1.1 421 Misdirected Request\r\n',
  refusalHeaders: `${headerNames.refusal}: shed\r\n`,
};

/** Another entry VM that runs forwarded requests at one server. */
async function startPeer(serverAddress: string, resources: DisposableStore): Promise<string> {
  const routing = {
    assignment: () => undefined,
    pooledServers: () => [serverAddress],
    mayRoute: () => true,
    track: () => toDisposable(() => undefined),
  };
  const executor = new RequestExecutor(
    await KeyHasher.create(),
    routing,
    resources.add(new ConnectionPool()),
    new LoadBalancer(new RandomSource(1)),
    new CrashingRequestDetector(),
    silentLogger,
  );
  const peer = resources.add(
    new GatewayServer({
      configuration: () => ({ revision: 1, snapshot: { services: [service] } }),
      execute: (request) => executor.execute(request),
      record: () => undefined,
      logger: silentLogger,
    }),
  );
  return `127.0.0.1:${(await peer.listen('127.0.0.1', 0)).toString()}`;
}

/** Sends requests to a server by way of another entry VM. */
function createTransport(): TransportUnderTest {
  const resources = new DisposableStore();
  const pool = resources.add(new ConnectionPool());
  return {
    send: async (address, requestId, timeoutMilliseconds, body = Buffer.from('body')) =>
      toTryResult(
        await pool.send({
          address: await startPeer(address, resources),
          method: 'POST',
          target: '/uploads/1',
          headers: { [headerNames.requestId]: requestId },
          body,
          requestId,
          isIdempotent: false,
          timeoutMilliseconds,
          answerLimitBytes: service.answerLimitBytes,
          connectionLimit: service.connectionsPerServer,
          signal: new AbortController().signal,
          mayStillSend: () => true,
        }),
      ),
    dispose: () => {
      resources.dispose();
    },
  };
}

/** The other entry VM states in a header that the outcome of a request is unknown. */
function toTryResult(result: AttemptResult): TryResult {
  switch (result.kind) {
    case 'answered':
      return result.headers[headerNames.outcome] === 'unknown'
        ? { kind: 'lost', reason: String(result.headers[headerNames.reason]) }
        : { kind: 'answered', status: result.status, body: result.body.toString() };
    case 'lost':
      return { kind: 'lost', reason: result.cause };
    case 'refused':
    case 'not-written':
      return { kind: result.kind };
  }
}

describe('a faulty server behind another entry VM', () => {
  it('never makes a response without a length to an upload look whole when its connection is reset', () =>
    checkBrokenEarlyResponses(dialect, createTransport));

  it('never makes a response with an invalid status look like one', () =>
    checkInvalidStatuses(dialect, createTransport));
});
