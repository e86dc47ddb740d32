import { createSocket } from 'node:dgram';
import { encode } from '@msgpack/msgpack';
import * as assert from 'uvu/assert';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { PeerSocket, type ReceivedMessage } from '../peerSocket.js';

const FIRST = { id: 'first@127.0.0.1', incarnation: '00c0ffee', ipAddress: '127.0.0.1' };
const SECOND = { id: 'second@127.0.0.2', incarnation: 'another form', ipAddress: '127.0.0.2' };
const READING_MILLISECONDS = 100;

interface Sockets {
  readonly first: PeerSocket;
  readonly port: number;
  /** Messages that the second entry VM received, and the events that either logged. */
  readonly received: readonly ReceivedMessage[];
  readonly events: readonly string[];
}

/** Two entry VMs on loopback addresses. */
async function withSockets(test: (sockets: Sockets) => Promise<void>): Promise<void> {
  const port = await findFreePort();
  const events: string[] = [];
  const received: ReceivedMessage[] = [];
  const logger = {
    log: (_level: string, event: string): void => {
      events.push(event);
    },
  };
  const sockets = [FIRST, SECOND].map((self) => new PeerSocket(self, port, logger));
  const [first, second] = sockets;
  assert.ok(first !== undefined && second !== undefined);
  try {
    await first.listen(FIRST.ipAddress);
    await second.listen(SECOND.ipAddress);
    second.onDidReceive((message) => {
      received.push(message);
    });
    await test({ first, port, received, events });
  } finally {
    sockets.forEach((socket) => {
      socket.dispose();
    });
  }
}

describe('a socket for messages between entry VMs', () => {
  it('delivers messages with their sender, and one with a duplicate twice', () =>
    withSockets(async ({ first, received }) => {
      first.sendToAll([SECOND.ipAddress], { type: 'waiting', id: 'a' });
      first.sendWithDuplicate(SECOND.ipAddress, { type: 'finish', id: '00c0ffee:7', use: 'answered' });
      await delay(READING_MILLISECONDS + 150);
      const finish = { type: 'finish', id: '00c0ffee:7', use: 'answered' };
      assert.equal(
        received,
        [{ type: 'waiting', id: 'a' }, finish, finish].map((message) => ({
          from: FIRST.id,
          incarnation: FIRST.incarnation,
          message,
        })),
      );
    }));

  it('delivers messages in JSON, whatever form it sends itself', () =>
    withSockets(async ({ port, received, events }) => {
      const other = createSocket('udp4');
      const json = { from: 'old@127.0.0.1', incarnation: 'a', messages: [{ type: 'waiting', id: 'x' }] };
      other.send(JSON.stringify(json), port, SECOND.ipAddress);
      await delay(READING_MILLISECONDS);
      other.close();
      assert.equal(received, [
        { from: 'old@127.0.0.1', incarnation: 'a', message: { type: 'waiting', id: 'x' } },
      ]);
      assert.equal(events, []);
    }));

  it('ignores datagrams of another format and logs them once', () =>
    withSockets(async ({ port, received, events }) => {
      const other = createSocket('udp4');
      const otherFormat = encode([3, 'old@127.0.0.1', 10, [['waiting', 'x']]]);
      for (let index = 0; index < 50; index += 1) {
        other.send(otherFormat, port, SECOND.ipAddress);
      }
      await delay(READING_MILLISECONDS);
      other.close();
      assert.equal(received, []);
      assert.equal(events, ['datagram-unreadable']);
    }));
});
