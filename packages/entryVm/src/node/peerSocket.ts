import { createSocket, type Socket } from 'node:dgram';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { decodeDatagram, encodeDatagram, encodeMessage, type PeerMessage } from '../common/peerMessage.js';

/** Keeps a datagram within one packet. */
const MAX_MESSAGES_PER_DATAGRAM = 8;
/** Duplicates that become due in the same interval share a datagram. */
const DUPLICATE_INTERVAL_MILLISECONDS = 100;

export interface ReceivedMessage {
  /** ID of the sending entry VM. */
  readonly from: string;
  readonly incarnation: string;
  readonly message: PeerMessage;
}

/** UDP socket for messages between entry VMs. Messages sent in one event loop iteration share a datagram. */
export class PeerSocket extends DisposableBase {
  readonly #socket: Socket;
  readonly #self: { readonly id: string; readonly incarnation: string };
  readonly #port: number;
  readonly #logger: Logger;
  /** Encoded messages to send, by destination address. */
  readonly #queued = new Map<string, string[]>();
  /** Encoded messages to send a second time, by destination address. */
  readonly #duplicates = new Map<string, string[]>();
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
      this.#queueDuplicates();
    }, DUPLICATE_INTERVAL_MILLISECONDS);
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

  /** Sends a message, and a duplicate within the duplicate interval in case the first datagram is lost. */
  sendWithDuplicate(ipAddress: string, message: PeerMessage): void {
    const encoded = encodeMessage(message);
    this.#queue(ipAddress, encoded);
    append(this.#duplicates, ipAddress, encoded);
  }

  #queue(ipAddress: string, encoded: string): void {
    append(this.#queued, ipAddress, encoded);
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      setImmediate(() => {
        this.#flush();
      });
    }
  }

  #queueDuplicates(): void {
    for (const [ipAddress, duplicates] of this.#duplicates) {
      duplicates.forEach((encoded) => {
        this.#queue(ipAddress, encoded);
      });
    }
    this.#duplicates.clear();
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    for (const [ipAddress, messages] of this.#queued) {
      for (let start = 0; start < messages.length; start += MAX_MESSAGES_PER_DATAGRAM) {
        this.#sendDatagram(ipAddress, messages.slice(start, start + MAX_MESSAGES_PER_DATAGRAM));
      }
    }
    this.#queued.clear();
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
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [text]);
  } else {
    list.push(text);
  }
}
