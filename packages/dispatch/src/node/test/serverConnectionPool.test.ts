import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { defaultResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { noStatements } from '../../common/serverStatements.js';
import type { ServerCall, ServerProtocol } from '../../common/serverCall.js';
import { ServerConnectionPool } from '../serverConnectionPool.js';

const protocol: ServerProtocol = {
  requestHeaders: ({ requestId }) => ({ 'request-id': requestId }),
  responseRequestId: (headers) => headers['request-id']?.toString(),
  refusal: (status) => (status === 421 ? 'misdirected' : undefined),
  statements: () => noStatements,
  isGenuine: (status, headers) => status !== 200 || headers.signature !== undefined,
};

const HEAD = headOf('one');

function headOf(requestId: string): string {
  return `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n`;
}

/** Runs a test against a server that handles each request by its number and counts connections. */
async function withServer(
  handle: (socket: Socket, requestNumber: number) => void,
  test: (address: string, openedCount: () => number) => Promise<void>,
): Promise<void> {
  let requests = 0;
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      handle(socket, requests);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await test(`127.0.0.1:${(server.address() as AddressInfo).port.toString()}`, () => connections);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

function call(address: string, overrides: Partial<ServerCall> = {}): ServerCall {
  return {
    requestId: 'one',
    serverId: 'server-1',
    address,
    host: 'example',
    method: 'GET',
    target: '/',
    headers: {},
    body: Buffer.alloc(0),
    isIdempotent: true,
    timeoutMilliseconds: 5_000,
    maxIdleConnections: 4,
    signal: new AbortController().signal,
    ...overrides,
  };
}

describe('a response of a server', () => {
  it('without a content length is complete when its connection ends', async () => {
    await withServer(
      (socket) => socket.end(`${HEAD}connection: close\r\n\r\nwhole`),
      async (address) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        const result = await connections.call(call(address));
        assert.is(result.kind === 'answered' && result.body.toString(), 'whole');
        connections.dispose();
      },
    );
  });

  it('without a content length is truncated if its connection is reset', async () => {
    await withServer(
      (socket) => {
        socket.write(`${HEAD}connection: close\r\n\r\npar`, () => {
          setTimeout(() => socket.resetAndDestroy(), 50);
        });
      },
      async (address) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        assert.equal(await connections.call(call(address)), { kind: 'lost', reason: 'answer-damaged' });
        connections.dispose();
      },
    );
  });

  it('without a content length is truncated if data and reset arrive together', async () => {
    await withServer(
      (socket) => {
        socket.write(`${HEAD}connection: close\r\n\r\npar`, () => socket.resetAndDestroy());
      },
      async (address) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        assert.equal(await connections.call(call(address)), { kind: 'lost', reason: 'answer-damaged' });
        connections.dispose();
      },
    );
  });

  it('with a content length is truncated if it ends early', async () => {
    await withServer(
      (socket) => socket.end(`${HEAD}content-length: 10\r\n\r\npar`),
      async (address) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        assert.equal((await connections.call(call(address))).kind, 'lost');
        connections.dispose();
      },
    );
  });

  it('to another request is rejected, and the connection is not reused', async () => {
    await withServer(
      (socket) => socket.write(HEAD.replace('one', 'other') + 'content-length: 2\r\n\r\nno'),
      async (address, openedCount) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        assert.equal(await connections.call(call(address)), { kind: 'lost', reason: 'answer-damaged' });
        await connections.call(call(address));
        assert.is(openedCount(), 2);
        connections.dispose();
      },
    );
  });

  it('that is sent twice does not become the response to the next request', async () => {
    await withServer(
      (socket) => socket.write(`${HEAD}content-length: 2\r\n\r\nok${HEAD}content-length: 2\r\n\r\nok`),
      async (address) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        assert.is((await connections.call(call(address))).kind, 'answered');
        const second = await connections.call(call(address));
        assert.is(second.kind, 'answered');
        connections.dispose();
      },
    );
  });
});

describe('a connection to a server', () => {
  it('is reused for the next request', async () => {
    await withServer(
      (socket, requestNumber) =>
        socket.write(`${headOf(requestNumber.toString())}content-length: 2\r\n\r\nok`),
      async (address, openedCount) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        await connections.call(call(address, { requestId: '1' }));
        await connections.call(call(address, { requestId: '2' }));
        assert.is(openedCount(), 1);
        connections.dispose();
      },
    );
  });

  it('that is refused leaves the request unwritten', async () => {
    const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
    assert.equal(await connections.call(call('127.0.0.1:1')), { kind: 'not-written' });
    connections.dispose();
  });

  it('does not delay another request to the same server', async () => {
    await withServer(
      (socket, requestNumber) => {
        const head = headOf(requestNumber === 4 ? 'two' : 'one');
        setTimeout(() => socket.write(`${head}content-length: 0\r\n\r\n`), requestNumber === 1 ? 100 : 0);
      },
      async (address, openedCount) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        const calls = [1, 2, 3].map(() => connections.call(call(address, { maxIdleConnections: 1 })));
        const results = await Promise.all(calls);
        assert.equal(
          results.map(({ kind }) => kind),
          ['answered', 'answered', 'answered'],
        );
        await connections.call(call(address, { maxIdleConnections: 1, requestId: 'two' }));
        assert.is(openedCount(), 3, 'one connection was reused');
        connections.dispose();
      },
    );
  });

  it('is not kept beyond the limit on idle connections', async () => {
    await withServer(
      (socket, requestNumber) => socket.write(`${headOf(requestNumber.toString())}content-length: 0\r\n\r\n`),
      async (address, openedCount) => {
        const connections = new ServerConnectionPool(protocol, defaultResponseLimits);
        await connections.call(call(address, { maxIdleConnections: 0, requestId: '1' }));
        await connections.call(call(address, { maxIdleConnections: 0, requestId: '2' }));
        assert.is(openedCount(), 2);
        connections.dispose();
      },
    );
  });
});
