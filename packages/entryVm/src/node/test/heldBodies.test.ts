import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import type { LogFields } from '@hickoryhoist/base/common/logger.js';
import { MemoryBudget } from '@hickoryhoist/connection/common/memoryBudget.js';
import type { RequestOutcome } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { singleRoute, startCallerServer } from './fakes/callerServerRig.js';

const MEGABYTE = 1_000_000;
const TIMEOUT_MILLISECONDS = 600;
const STALLED_READER_MILLISECONDS = 800;

const routes = singleRoute(
  { name: 'uploads', pathPrefix: '/', timeoutMilliseconds: TIMEOUT_MILLISECONDS },
  'archive',
  64 * MEGABYTE,
);

interface TestServer {
  readonly memory: MemoryBudget;
  readonly dispatchedIds: string[];
  readonly logged: { event: string; fields: LogFields }[];
  open: () => Socket;
}

async function withServer(
  maxBytes: number,
  respond: () => Promise<Buffer>,
  body: (server: TestServer) => Promise<void>,
): Promise<void> {
  const dispatchedIds: string[] = [];
  const logged: { event: string; fields: LogFields }[] = [];
  const memory = new MemoryBudget(maxBytes);
  const { server, port } = await startCallerServer({
    routes: () => routes,
    dispatch: async ({ id }): Promise<RequestOutcome> => {
      dispatchedIds.push(id);
      return { kind: 'answered', serverId: 'server-1', status: 200, headers: {}, body: await respond() };
    },
    memory,
    stalledReaderMilliseconds: STALLED_READER_MILLISECONDS,
    logger: {
      log: (_level, event, fields = {}) => {
        logged.push({ event, fields });
      },
    },
  });
  const sockets: Socket[] = [];
  const open = (): Socket => {
    const socket = connect({ port, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  };
  try {
    await body({ memory, dispatchedIds, logged, open });
    sockets.forEach((socket) => socket.destroy());
    await wait(100);
    assert.is(memory.usedBytes, 0);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.dispose();
  }
}

function head(id: string, bodyHeader: string): string {
  return `POST /${id} HTTP/1.1\r\nhost: library.example\r\nx-id: ${id}\r\n${bodyHeader}\r\n\r\n`;
}

/** @returns everything that arrives until the connection is closed, and whether it was reset. */
function readAll(socket: Socket): Promise<{ text: string; isReset: boolean }> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('utf8');
    });
    socket.once('close', (isReset) => {
      resolve({ text, isReset });
    });
  });
}

const respondAtOnce = (): Promise<Buffer> => Promise.resolve(Buffer.from('done'));

describe('bodies held for callers', () => {
  it('refuses an upload that does not fit before it is read, and lets its caller read the response', () =>
    withServer(10 * MEGABYTE, respondAtOnce, async ({ memory, dispatchedIds, logged, open }) => {
      const first = open();
      first.write(head('first', `content-length: ${(6 * MEGABYTE).toString()}`));
      first.write(Buffer.alloc(MEGABYTE));
      await wait(50);
      const second = open();
      const refusal = readAll(second);
      second.write(head('second', `content-length: ${(6 * MEGABYTE).toString()}`));
      second.write(Buffer.alloc(6 * MEGABYTE));
      const { text, isReset } = await refusal;
      assert.match(text, /^HTTP\/1.1 503 [\s\S]*retry-after: 0\.500[\s\S]*connection: close[\s\S]*memory\n$/);
      assert.not(isReset);
      assert.is(memory.usedBytes, 6 * MEGABYTE);
      assert.equal(dispatchedIds, []);
      assert.equal(
        logged.map(({ event, fields }) => [event, fields.request, fields.bytes]),
        [['request-body-refused', 'second', 6 * MEGABYTE]],
      );
      first.write(Buffer.alloc(5 * MEGABYTE));
      await wait(100);
      assert.equal(dispatchedIds, ['first']);
    }));

  it('refuses a body without a length once it has grown too large', () =>
    withServer(2 * MEGABYTE, respondAtOnce, async ({ dispatchedIds, open }) => {
      const socket = open();
      const refusal = readAll(socket);
      socket.write(head('grows', 'transfer-encoding: chunked'));
      const chunk = Buffer.concat([Buffer.from('f4240\r\n'), Buffer.alloc(MEGABYTE), Buffer.from('\r\n')]);
      [1, 2, 3].forEach(() => socket.write(chunk));
      socket.write('0\r\n\r\n');
      assert.match((await refusal).text, /^HTTP\/1.1 503 [\s\S]*memory\n$/);
      assert.equal(dispatchedIds, []);
    }));

  it('holds the memory of a stalled upload no longer than its time limit', () =>
    withServer(10 * MEGABYTE, respondAtOnce, async ({ memory, dispatchedIds, open }) => {
      const socket = open();
      const refusal = readAll(socket);
      socket.write(head('stalled', `content-length: ${(8 * MEGABYTE).toString()}`));
      await wait(50);
      assert.is(memory.usedBytes, 8 * MEGABYTE);
      await wait(TIMEOUT_MILLISECONDS + 100);
      assert.is(memory.usedBytes, 0);
      assert.match((await refusal).text, /^HTTP\/1.1 408 /);
      assert.equal(dispatchedIds, []);
    }));

  it('counts responses that callers do not read, and disconnects the slowest when they do not fit', () =>
    withServer(
      20 * MEGABYTE,
      () => Promise.resolve(Buffer.alloc(15 * MEGABYTE)),
      async ({ memory, logged, open }) => {
        const readers = ['first', 'second'].map((id) => {
          const socket = open();
          socket.pause();
          socket.write(head(id, 'content-length: 0'));
          return socket;
        });
        await wait(300);
        assert.is(readers.length, 2);
        assert.is(memory.usedBytes, 15 * MEGABYTE);
        assert.equal(
          logged.map(({ event }) => event),
          ['slow-reader-disconnected'],
        );
      },
    ));

  it('does not count the body of a request any more when its response is written', () =>
    withServer(
      20 * MEGABYTE,
      () => Promise.resolve(Buffer.alloc(12 * MEGABYTE)),
      async ({ logged, open }) => {
        const socket = open();
        socket.write(head('large', `content-length: ${(12 * MEGABYTE).toString()}\r\nconnection: close`));
        const response = readAll(socket);
        socket.write(Buffer.alloc(12 * MEGABYTE));
        assert.ok((await response).text.length > 12 * MEGABYTE);
        assert.equal(logged, []);
      },
    ));

  it('counts a body without a length once, when it is complete', () => {
    let usedBytes = (): number => 0;
    const atDispatch: number[] = [];
    const respond = (): Promise<Buffer> => {
      atDispatch.push(usedBytes());
      return respondAtOnce();
    };
    return withServer(10 * MEGABYTE, respond, async ({ memory, open }) => {
      usedBytes = () => memory.usedBytes;
      const socket = open();
      const response = readAll(socket);
      socket.write(head('chunked', 'transfer-encoding: chunked\r\nconnection: close'));
      socket.write(
        Buffer.concat([Buffer.from('f4240\r\n'), Buffer.alloc(MEGABYTE), Buffer.from('\r\n0\r\n\r\n')]),
      );
      assert.match((await response).text, /^HTTP\/1.1 200 /);
      assert.equal(atDispatch, [MEGABYTE]);
    });
  });

  it('disconnects a caller that takes nothing of its response', () =>
    withServer(
      20 * MEGABYTE,
      () => Promise.resolve(Buffer.alloc(15 * MEGABYTE)),
      async ({ memory, logged, open }) => {
        const socket = open();
        socket.pause();
        socket.write(head('stalled', 'content-length: 0'));
        await wait(100);
        assert.is(memory.usedBytes, 15 * MEGABYTE);
        await wait(4 * STALLED_READER_MILLISECONDS);
        assert.is(memory.usedBytes, 0);
        assert.equal(
          logged.map(({ event }) => event),
          ['stalled-reader-disconnected'],
        );
      },
    ));
});
