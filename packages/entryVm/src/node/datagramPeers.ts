import { createSocket, type Socket } from 'node:dgram';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { decodeDatagram, encodeDatagram, encodeMessage, type PeerMessage } from '../common/peerMessage.js';

/** Messages in one datagram at most, so that it fits into one packet. */
const MESSAGES_PER_DATAGRAM = 8;

/** Time between the sending of copies, in milliseconds. Copies of that time share a datagram. */
const COPY_MILLISECONDS = 100;

/** A message that came in. */
export interface ReceivedMessage {
  readonly from: string;
  readonly incarnation: string;
  readonly message: PeerMessage;
}

/** Sends messages to other entry VMs as datagrams. Messages of one turn of the event loop share a datagram. */
export class DatagramPeers extends DisposableBase {
  readonly #socket: Socket;
  readonly #self: { readonly id: string; readonly incarnation: string };
  readonly #port: number;
  readonly #logger: Logger;
  /** Encoded messages by the address that they go to. */
  readonly #waiting = new Map<string, string[]>();
  readonly #copies = new Map<string, string[]>();
  readonly #onDidReceive = new Emitter<ReceivedMessage>();
  #isFlushScheduled = false;

  readonly onDidReceive = this.#onDidReceive.event;

  constructor(self: { id: string; incarnation: string }, port: number, logger: Logger) {
    super();
    this.#self = self;
    this.#port = port;
    this.#logger = logger;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes) => {
      this.#receive(bytes);
    });
    this.#socket.on('error', (error) => {
      logger.log('warn', 'peer-socket-failed', { reason: describeError(error) });
    });
    const timer = setInterval(() => {
      this.#sendCopies();
    }, COPY_MILLISECONDS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
        this.#socket.close();
      }),
    );
  }

  listen(ipAddress: string): Promise<void> {
    return new Promise((resolve) => {
      this.#socket.bind(this.#port, ipAddress, resolve);
    });
  }

  send(ipAddress: string, message: PeerMessage): void {
    this.#queue(ipAddress, encodeMessage(message));
  }

  sendToAll(ipAddresses: readonly string[], message: PeerMessage): void {
    const encoded = encodeMessage(message);
    ipAddresses.forEach((ipAddress) => {
      this.#queue(ipAddress, encoded);
    });
  }

  /** Sends a message and, some time later, a copy of it with other messages, in case the first one gets lost. */
  sendTwice(ipAddress: string, message: PeerMessage): void {
    const encoded = encodeMessage(message);
    this.#queue(ipAddress, encoded);
    append(this.#copies, ipAddress, encoded);
  }

  #queue(ipAddress: string, encoded: string): void {
    append(this.#waiting, ipAddress, encoded);
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      setImmediate(() => {
        this.#flush();
      });
    }
  }

  #sendCopies(): void {
    for (const [ipAddress, copies] of this.#copies) {
      copies.forEach((encoded) => {
        this.#queue(ipAddress, encoded);
      });
    }
    this.#copies.clear();
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    for (const [ipAddress, messages] of this.#waiting) {
      for (let start = 0; start < messages.length; start += MESSAGES_PER_DATAGRAM) {
        this.#sendDatagram(ipAddress, messages.slice(start, start + MESSAGES_PER_DATAGRAM));
      }
    }
    this.#waiting.clear();
  }

  #sendDatagram(ipAddress: string, encodedMessages: readonly string[]): void {
    if (this.isDisposed()) {
      return;
    }
    const datagram = encodeDatagram(this.#self.id, this.#self.incarnation, encodedMessages);
    this.#socket.send(datagram, this.#port, ipAddress, (error) => {
      if (error !== null) {
        this.#logger.log('debug', 'datagram-not-sent', { to: ipAddress, reason: describeError(error) });
      }
    });
  }

  #receive(bytes: Buffer): void {
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined) {
      this.#logger.log('warn', 'datagram-unreadable', { bytes: bytes.length });
      return;
    }
    for (const message of datagram.messages) {
      this.#onDidReceive.fire({ from: datagram.from, incarnation: datagram.incarnation, message });
    }
  }
}

function append(lists: Map<string, string[]>, key: string, text: string): void {
  const known = lists.get(key);
  if (known === undefined) {
    lists.set(key, [text]);
  } else {
    known.push(text);
  }
}
