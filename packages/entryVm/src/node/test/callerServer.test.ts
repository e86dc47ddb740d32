import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import { MemoryBudget } from '@hickoryhoist/connection/common/memoryBudget.js';
import type { CallerRequest } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CallerServer } from '../callerServer.js';

const BLOCK_MILLISECONDS = 60;
const CALLERS = 12;

const routes = new RouteTable({
  revision: 1,
  routes: [
    {
      name: 'loans',
      host: 'library.example',
      pathPrefix: '/loans/',
      kind: 'at-most-once',
      timeoutMilliseconds: 1_000,
      goalMilliseconds: 500,
      rank: 0,
      maxAttempts: 1,
      services: [{ service: 'circulation', weight: 1 }],
    },
  ],
  services: new Map([['circulation', { name: 'circulation', kind: 'pooled', connectionsPerServer: 10 }]]),
  limits: {
    maxHeaderBytes: 8_192,
    maxBodyBytes: 100_000,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 5_000,
  },
});

async function withServer(
  body: (port: number, dispatched: readonly CallerRequest[]) => Promise<void>,
): Promise<void> {
  const dispatched: CallerRequest[] = [];
  const server = new CallerServer({
    protocol: {
      requestIdHeader: 'x-id',
      timeoutHeader: 'x-timeout',
      keyHeader: 'x-key',
      strippedHeaders: [],
      readinessPath: '/ready',
    },
    routes: () => routes,
    dispatch: (request) => {
      dispatched.push(request);
      const body = Buffer.from('done');
      return Promise.resolve({ kind: 'answered', serverId: 'server-1', status: 200, headers: {}, body });
    },
    onDidComplete: () => undefined,
    memory: new MemoryBudget(Number.POSITIVE_INFINITY),
    logger: { log: () => undefined },
  });
  const port = await findFreePort();
  await server.listen(`127.0.0.1:${port.toString()}`);
  try {
    await body(port, dispatched);
  } finally {
    server.dispose();
  }
}

/** Blocks the event loop, as a lack of processor time does. */
function block(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    // Busy wait.
  }
}

function encodeRequest(id: number): string {
  return `POST /loans/new HTTP/1.1\r\nhost: library.example\r\nx-id: r${id.toString()}\r\ncontent-length: 1\r\n\r\nx`;
}

describe('CallerServer', () => {
  it('does not dispatch a request whose caller disconnected before the request was read', () =>
    withServer(async (port, dispatched) => {
      const sockets = Array.from({ length: CALLERS }, () => connect({ port, host: '127.0.0.1' }));
      await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once('connect', resolve))));
      await wait(BLOCK_MILLISECONDS);
      sockets.forEach((socket, index) => {
        socket.on('error', () => undefined);
        socket.write(encodeRequest(index));
        socket.destroy();
      });
      block(BLOCK_MILLISECONDS);
      await wait(2 * BLOCK_MILLISECONDS);
      assert.equal(
        dispatched.map(({ id }) => id),
        [],
      );
    }));

  it('responds to a caller that stays connected', () =>
    withServer(async (port, dispatched) => {
      const socket = connect({ port, host: '127.0.0.1' });
      socket.write(encodeRequest(1));
      const response = await new Promise<string>((resolve) =>
        socket.once('data', (bytes) => {
          resolve(bytes.toString('utf8'));
        }),
      );
      socket.destroy();
      assert.match(response, /^HTTP\/1.1 200 OK/);
      assert.is(dispatched.length, 1);
    }));
});
