import { MAX_MESSAGES_PER_DATAGRAM } from './peerCodec.js';
import type { EncodedMessage } from './peerMessage.js';

/** Messages that go to one entry VM in one datagram. */
export interface QueuedDatagram {
  readonly ipAddress: string;
  readonly messages: readonly EncodedMessage[];
}

interface Duplicate {
  readonly message: EncodedMessage;
  readonly queuedAt: number;
}

/** Keeps a datagram within one packet, beside its sender. A larger message goes alone. */
const MAX_DATAGRAM_BYTES = 1_200;
/** A duplicate does not travel this soon after its message, in milliseconds: what loses one packet loses its neighbours. */
const MIN_DUPLICATE_MILLISECONDS = 10;

/**
 * The messages to other entry VMs that wait for the end of an event loop iteration, and the duplicates that wait for
 * another datagram to the same one. Load pattern: attempts fail at many entry VMs, and the message that ends each goes
 * twice to its coordinator; with many entry VMs, each pair of them has few messages to share a datagram. Messages keep
 * their order.
 */
export class DatagramQueue {
  readonly #messages = new Map<string, EncodedMessage[]>();
  readonly #duplicates = new Map<string, Duplicate[]>();

  get isEmpty(): boolean {
    return this.#messages.size === 0;
  }

  add(ipAddress: string, message: EncodedMessage): void {
    append(this.#messages, ipAddress, message);
  }

  /** Adds a message that is sent again with a later datagram to the same entry VM, or on its own. */
  addWithDuplicate(ipAddress: string, message: EncodedMessage, now: number): void {
    this.add(ipAddress, message);
    append(this.#duplicates, ipAddress, { message, queuedAt: now });
  }

  /** Takes what is to be sent now, with the duplicates that can go along. */
  take(now: number): readonly QueuedDatagram[] {
    const datagrams: QueuedDatagram[] = [];
    for (const [ipAddress, messages] of this.#messages) {
      const duplicates = this.#takeDuplicates(ipAddress, now);
      pack(datagrams, ipAddress, duplicates === undefined ? messages : [...messages, ...duplicates]);
    }
    this.#messages.clear();
    return datagrams;
  }

  /** Takes the duplicates that no other datagram has taken along. */
  takeDuplicates(now: number): readonly QueuedDatagram[] {
    const datagrams: QueuedDatagram[] = [];
    for (const ipAddress of this.#duplicates.keys()) {
      pack(datagrams, ipAddress, this.#takeDuplicates(ipAddress, now) ?? []);
    }
    return datagrams;
  }

  #takeDuplicates(ipAddress: string, now: number): readonly EncodedMessage[] | undefined {
    const waiting = this.#duplicates.get(ipAddress);
    if (waiting === undefined) {
      return undefined;
    }
    const isDue = ({ queuedAt }: Duplicate): boolean => now - queuedAt >= MIN_DUPLICATE_MILLISECONDS;
    const due = waiting.filter(isDue);
    if (due.length === waiting.length) {
      this.#duplicates.delete(ipAddress);
    } else if (due.length > 0) {
      this.#duplicates.set(
        ipAddress,
        waiting.filter((duplicate) => !isDue(duplicate)),
      );
    }
    return due.map(({ message }) => message);
  }
}

/** Appends the datagrams of some messages to one entry VM. */
function pack(datagrams: QueuedDatagram[], ipAddress: string, messages: readonly EncodedMessage[]): void {
  if (messages.length === 1) {
    datagrams.push({ ipAddress, messages });
    return;
  }
  let last: EncodedMessage[] = [];
  let bytes = 0;
  for (const message of messages) {
    const size = message.bytes.length;
    if (last.length === 0 || last.length >= MAX_MESSAGES_PER_DATAGRAM || bytes + size > MAX_DATAGRAM_BYTES) {
      last = [];
      datagrams.push({ ipAddress, messages: last });
      bytes = 0;
    }
    last.push(message);
    bytes += size;
  }
}

function append<Item>(lists: Map<string, Item[]>, key: string, item: Item): void {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [item]);
  } else {
    list.push(item);
  }
}
