import { createServer, type Server, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { AttemptResult, ServerRequest } from '../../common/serverTransport.js';
import { ConnectionPool } from '../connectionPool.js';

const BODY = 'two tickets';
const RESPONSE_BODY = '{"ok":true}';
const DEADLINE_MILLISECONDS = 400;

/** Runs a raw TCP server. `serve` is called for each request with the number of its connection. */
async function withServer(
  serve: (socket: Socket, requestText: string, connection: number) => void,
  body: (address: string) => Promise<void>,
): Promise<void> {
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    connections += 1;
    const connection = connections;
    let received = '';
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('utf8');
      if (isComplete(received)) {
        const text = received;
        received = '';
        serve(socket, text, connection);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  try {
    await body(
      `127.0.0.1:${typeof address === 'object' && address !== null ? address.port.toString() : '0'}`,
    );
  } finally {
    sockets.forEach((socket) => {
      socket.destroy();
    });
    server.close();
  }
}

function isComplete(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? '0');
  return end !== -1 && text.length >= end + 4 + length;
}

function responseText(requestId: string): string {
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${RESPONSE_BODY.length.toString()}`;
  return `${head}\r\nhickoryhoist-request-id: ${requestId}\r\n\r\n${RESPONSE_BODY}`;
}

function buildRequest(address: string, fields: Partial<ServerRequest> = {}): ServerRequest {
  return {
    address,
    method: 'POST',
    target: '/bookings',
    headers: {},
    body: Buffer.from(BODY),
    requestId: 'request-1',
    isIdempotent: false,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
    answerLimitBytes: 1_000,
    connectionLimit: 10,
    signal: new AbortController().signal,
    mayStillSend: () => true,
    ...fields,
  };
}

function buildRequestWithId(
  address: string,
  requestId: string,
  fields: Partial<ServerRequest> = {},
): ServerRequest {
  return buildRequest(address, { requestId, headers: { 'hickoryhoist-request-id': requestId }, ...fields });
}

function requestIdOf(text: string): string {
  return /hickoryhoist-request-id: (\S+)/i.exec(text)?.[1] ?? '';
}

async function sendOnce(address: string, fields: Partial<ServerRequest> = {}): Promise<AttemptResult> {
  const pool = new ConnectionPool();
  try {
    return await pool.send(buildRequest(address, fields));
  } finally {
    pool.dispose();
  }
}

describe('an attempt over a real connection', () => {
  it('is answered when the response is complete', () =>
    withServer(
      (socket) => socket.write(responseText('request-1')),
      async (address) => {
        const result = await sendOnce(address);
        assert.is(result.kind, 'answered');
        assert.is(result.kind === 'answered' ? result.body.toString() : '', RESPONSE_BODY);
      },
    ));

  it('is not written when nothing listens at the address', async () => {
    let unusedAddress = '';
    await withServer(
      () => undefined,
      (address) => {
        unusedAddress = address;
        return Promise.resolve();
      },
    );
    assert.equal(await sendOnce(unusedAddress), { kind: 'not-written' });
  });

  describe('whose response is cut off', () => {
    const whole = responseText('request-1');
    for (let length = 0; length < whole.length; length += 1) {
      it(`after ${length.toString()} bytes is lost`, () =>
        withServer(
          (socket) => {
            if (length === 0) {
              socket.destroy();
            } else {
              socket.write(whole.slice(0, length), () => socket.destroy());
            }
          },
          async (address) => {
            assert.is((await sendOnce(address)).kind, 'lost');
          },
        ));
    }
  });

  it('is not written when it may no longer be sent once the connection is open', async () => {
    let received = 0;
    await withServer(
      () => {
        received += 1;
      },
      async (address) => {
        assert.equal(await sendOnce(address, { mayStillSend: () => false }), { kind: 'not-written' });
        assert.is((await sendOnce(address, { timeoutMilliseconds: 50 })).kind, 'lost');
        assert.is(received, 1);
      },
    );
  });

  it('is lost when the response belongs to another request', () =>
    withServer(
      (socket) => socket.write(responseText('request-2')),
      async (address) => {
        assert.equal(await sendOnce(address), { kind: 'lost', cause: 'answer-damaged' });
      },
    ));

  it('is lost when the response is larger than the limit', () =>
    withServer(
      (socket) => socket.write(responseText('request-1')),
      async (address) => {
        assert.equal(await sendOnce(address, { answerLimitBytes: 3 }), {
          kind: 'lost',
          cause: 'answer-too-large',
        });
      },
    ));

  it('is refused when the response has the refusal header', () =>
    withServer(
      (socket) =>
        socket.write(
          'HTTP/1.1 421 No\r\nhickoryhoist-request-id: request-1\r\nhickoryhoist-refusal: shed\r\ncontent-length: 0\r\n\r\n',
        ),
      async (address) => {
        assert.equal(await sendOnce(address), { kind: 'refused', refusal: 'shed' });
      },
    ));

  it('is lost when a response with the refusal header has no request identifier', () =>
    withServer(
      (socket) => socket.write('HTTP/1.1 421 No\r\nhickoryhoist-refusal: shed\r\ncontent-length: 0\r\n\r\n'),
      async (address) => {
        assert.equal(await sendOnce(address), { kind: 'lost', cause: 'answer-damaged' });
      },
    ));

  it('is answered when a server error has no refusal header', () =>
    withServer(
      (socket) =>
        socket.write('HTTP/1.1 503 No\r\nhickoryhoist-request-id: request-1\r\ncontent-length: 0\r\n\r\n'),
      async (address) => {
        assert.is((await sendOnce(address)).kind, 'answered');
      },
    ));

  it('is lost at its deadline, and its connection is closed', () =>
    withServer(
      () => undefined,
      async (address) => {
        const pool = new ConnectionPool();
        const result = await pool.send(buildRequest(address, { timeoutMilliseconds: 30 }));
        assert.equal(result, { kind: 'lost', cause: 'deadline' });
        assert.is(pool.openConnections(address), 0);
        pool.dispose();
      },
    ));
});

describe('idle connections that stopped responding', () => {
  it('are probed before a non-idempotent request, which is then sent on a new connection', async () => {
    let bookings = 0;
    let isFirstUnresponsive = false;
    await withServer(
      (socket, text, connection) => {
        if (connection === 1 && isFirstUnresponsive) {
          return;
        }
        bookings += text.startsWith('POST') ? 1 : 0;
        socket.write(responseText(requestIdOf(text)));
      },
      async (address) => {
        const pool = new ConnectionPool();
        assert.is((await pool.send(buildRequestWithId(address, 'request-1'))).kind, 'answered');
        isFirstUnresponsive = true;
        await new Promise((resolve) => setTimeout(resolve, 600));
        const result = await pool.send(
          buildRequestWithId(address, 'request-2', { timeoutMilliseconds: 10_000 }),
        );
        assert.is(result.kind, 'answered');
        assert.is(bookings, 2);
        assert.is(pool.openConnections(address), 1);
        pool.dispose();
      },
    );
  });

  it('are closed when a request on one of them times out', async () => {
    let areOldUnresponsive = false;
    await withServer(
      (socket, text, connection) => {
        if (connection <= 3 && areOldUnresponsive) {
          return;
        }
        setTimeout(() => socket.write(responseText(requestIdOf(text))), 20);
      },
      async (address) => {
        const pool = new ConnectionPool();
        const readFields = { isIdempotent: true, method: 'GET', body: Buffer.alloc(0) };
        await Promise.all(
          ['a', 'b', 'c'].map((id) => pool.send(buildRequestWithId(address, id, readFields))),
        );
        assert.is(pool.openConnections(address), 3);
        areOldUnresponsive = true;
        const timedOut = await pool.send(
          buildRequestWithId(address, 'd', { ...readFields, timeoutMilliseconds: 50 }),
        );
        assert.equal(timedOut, { kind: 'lost', cause: 'deadline' });
        assert.is(pool.openConnections(address), 0);
        const next = await pool.send(
          buildRequestWithId(address, 'e', { ...readFields, timeoutMilliseconds: 10_000 }),
        );
        assert.is(next.kind, 'answered');
        pool.dispose();
      },
    );
  });
});
