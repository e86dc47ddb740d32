import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import type { CallerRequest } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { singleRoute, startCallerServer } from './fakes/callerServerRig.js';

const BLOCK_MILLISECONDS = 60;
const CALLERS = 12;

const routes = singleRoute(
  { name: 'loans', pathPrefix: '/loans/', timeoutMilliseconds: 1_000 },
  'circulation',
  100_000,
);

async function withServer(
  body: (port: number, dispatched: readonly CallerRequest[]) => Promise<void>,
): Promise<void> {
  const dispatched: CallerRequest[] = [];
  const { server, port } = await startCallerServer({
    routes: () => routes,
    dispatch: (request) => {
      dispatched.push(request);
      const body = Buffer.from('done');
      return Promise.resolve({ kind: 'answered', serverId: 'server-1', status: 200, headers: {}, body });
    },
  });
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
