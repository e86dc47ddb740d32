import { createSocket, type Socket, type SocketOptions } from 'node:dgram';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { DatagramQueue, type QueuedDatagram } from '../common/datagramQueue.js';
import {
  DatagramEncoder,
  decodeDatagram,
  encodeMessage,
  type MessageFormat,
  type PeerMessage,
} from '../common/peerMessage.js';

/** Counts the bytes of a message, or those that a datagram adds to its messages. */
export type CountSentBytes = (
  ipAddress: string,
  kind: PeerMessage['type'] | 'datagram',
  bytes: number,
) => void;

/** IP and UDP headers of a datagram. */
const PACKET_HEADER_BYTES = 28;
/** Interval at which duplicates are sent that no other datagram has taken along. */
const DUPLICATE_INTERVAL_MILLISECONDS = 90;
/** Minimum time between two log lines about datagrams that cannot be read. */
const UNREADABLE_LOG_MILLISECONDS = 5_000;

type LookupFunction = NonNullable<SocketOptions['lookup']>;

/** Destinations are IP addresses. The resolver would pass them on, too, but later and for each datagram anew. */
const returnAddress: LookupFunction = (ipAddress, _options, callback) => {
  callback(null, ipAddress, 4);
};

export interface ReceivedMessage {
  /** ID of the sending entry VM. */
  readonly from: string;
  readonly incarnation: string;
  readonly message: PeerMessage;
}

/** The entry VM and process that sends. */
export interface PeerSocketSelf {
  readonly id: string;
  readonly incarnation: string;
  readonly ipAddress: string;
  readonly messageFormat?: MessageFormat;
}

/** UDP socket for messages between entry VMs. Messages sent in one event loop iteration share a datagram. */
export class PeerSocket extends DisposableBase {
  readonly #socket: Socket;
  readonly #self: PeerSocketSelf;
  readonly #port: number;
  readonly #logger: Logger;
  readonly #queue = new DatagramQueue();
  readonly #encoder: DatagramEncoder;
  readonly #onDidReceive = new Emitter<ReceivedMessage>();
  #isFlushScheduled = false;
  /** Datagrams since the last log line about those that cannot be read. */
  #unreadableCount = 0;
  #nextUnreadableLogAt = 0;

  /** One for all datagrams, since each would otherwise have its own. The error names the address. */
  readonly #afterSend = (error: Error | null): void => {
    if (error !== null) {
      this.#logger.log('debug', 'datagram-not-sent', { reason: describeError(error) });
    }
  };

  readonly onDidReceive = this.#onDidReceive.event;

  readonly #countSent: CountSentBytes;

  constructor(
    self: PeerSocketSelf,
    port: number,
    logger: Logger,
    countSent: CountSentBytes = () => undefined,
  ) {
    super();
    this.#countSent = countSent;
    this.#self = self;
    this.#port = port;
    this.#logger = logger;
    this.#encoder = new DatagramEncoder(self, self.ipAddress, self.messageFormat);
    this.#socket = createSocket({ type: 'udp4', lookup: returnAddress });
    this.#socket.on('message', (bytes, { address }) => {
      this.#receive(bytes, address);
    });
    this.#socket.on('error', (error) => {
      logger.log('warn', 'peer-socket-failed', { reason: describeError(error) });
    });
    const timer = setInterval(() => {
      this.#sendDatagrams(this.#queue.takeDuplicates(performance.now()));
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
    this.#queue.add(ipAddress, encodeMessage(message, this.#self, this.#self.messageFormat));
    this.#scheduleFlush();
  }

  sendToAll(ipAddresses: readonly string[], message: PeerMessage): void {
    const encoded = encodeMessage(message, this.#self, this.#self.messageFormat);
    ipAddresses.forEach((ipAddress) => {
      this.#queue.add(ipAddress, encoded);
    });
    this.#scheduleFlush();
  }

  /** Sends a message, and a duplicate within 100 ms in case the first datagram is lost. */
  sendWithDuplicate(ipAddress: string, message: PeerMessage): void {
    this.#queue.addWithDuplicate(
      ipAddress,
      encodeMessage(message, this.#self, this.#self.messageFormat),
      performance.now(),
    );
    this.#scheduleFlush();
  }

  #scheduleFlush(): void {
    if (!this.#isFlushScheduled && !this.#queue.isEmpty) {
      this.#isFlushScheduled = true;
      setImmediate(() => {
        this.#isFlushScheduled = false;
        this.#sendDatagrams(this.#queue.take(performance.now()));
      });
    }
  }

  #sendDatagrams(datagrams: readonly QueuedDatagram[]): void {
    if (!this.isDisposed()) {
      datagrams.forEach((datagram) => {
        this.#sendDatagram(datagram);
      });
    }
  }

  #sendDatagram({ ipAddress, messages }: QueuedDatagram): void {
    const bytes = this.#encoder.encode(messages);
    let frameBytes = bytes.length + PACKET_HEADER_BYTES;
    for (const message of messages) {
      this.#countSent(ipAddress, message.type, message.bytes.length);
      frameBytes -= message.bytes.length;
    }
    this.#countSent(ipAddress, 'datagram', frameBytes);
    this.#socket.send(bytes, this.#port, ipAddress, this.#afterSend);
  }

  #receive(bytes: Buffer, sourceAddress: string): void {
    const datagram = decodeDatagram(bytes, sourceAddress);
    if (datagram === undefined) {
      this.#logUnreadable(bytes.length, sourceAddress);
      return;
    }
    for (const message of datagram.messages) {
      this.#onDidReceive.fire({ from: datagram.from, incarnation: datagram.incarnation, message });
    }
  }

  /** Load pattern: while versions with different formats run, each sends the others many datagrams a second. */
  #logUnreadable(bytes: number, sourceAddress: string): void {
    this.#unreadableCount += 1;
    const now = performance.now();
    if (now >= this.#nextUnreadableLogAt) {
      this.#nextUnreadableLogAt = now + UNREADABLE_LOG_MILLISECONDS;
      this.#logger.log('warn', 'datagram-unreadable', {
        bytes,
        source: sourceAddress,
        count: this.#unreadableCount,
      });
      this.#unreadableCount = 0;
    }
  }
}
