import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import type { CallerRequest } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CallerServer } from '../callerServer.js';

const BUSY_MILLISECONDS = 60;
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
    dialect: {
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
    onDidEnd: () => undefined,
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

/** Keeps the event loop from turning, as a process does that is short of processor time. */
function block(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    // Busy on purpose.
  }
}

function headOf(id: number): string {
  return `POST /loans/new HTTP/1.1\r\nhost: library.example\r\nx-id: r${id.toString()}\r\ncontent-length: 1\r\n\r\nx`;
}

describe('the port for callers', () => {
  it('hands on no request whose caller had left before it was read', () =>
    withServer(async (port, dispatched) => {
      const sockets = Array.from({ length: CALLERS }, () => connect({ port, host: '127.0.0.1' }));
      await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once('connect', resolve))));
      await wait(BUSY_MILLISECONDS);
      sockets.forEach((socket, index) => {
        socket.on('error', () => undefined);
        socket.write(headOf(index));
        socket.destroy();
      });
      block(BUSY_MILLISECONDS);
      await wait(2 * BUSY_MILLISECONDS);
      assert.equal(
        dispatched.map(({ id }) => id),
        [],
      );
    }));

  it('answers a caller that stays', () =>
    withServer(async (port, dispatched) => {
      const socket = connect({ port, host: '127.0.0.1' });
      socket.write(headOf(1));
      const answer = await new Promise<string>((resolve) =>
        socket.once('data', (bytes) => {
          resolve(bytes.toString('utf8'));
        }),
      );
      socket.destroy();
      assert.match(answer, /^HTTP\/1.1 200 OK/);
      assert.is(dispatched.length, 1);
    }));
});
