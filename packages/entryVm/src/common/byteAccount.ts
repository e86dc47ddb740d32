import type { PeerMessage } from './peerMessage.js';

/** What bytes are sent or received for. */
export type ByteKind =
  /** Heads and bodies of requests to owners of keys, and to servers of which any may run the request. */
  | 'keyed-request'
  | 'pooled-request'
  /** Heads and bodies of their responses. */
  | 'keyed-response'
  | 'pooled-response'
  /** Commands to servers about the keys that they own, and their responses. */
  | 'grant'
  /** Copies of tables that are read from another entry VM. */
  | 'table-copy'
  /** Sender and packet headers of messages between entry VMs. */
  | 'datagram'
  /** Messages between entry VMs. */
  | PeerMessage['type'];

/** Where the other side is; `unknown` if its availability zone is not known yet. */
export type ZoneRelation = 'same-zone' | 'other-zone' | 'unknown';

export interface ByteTotal {
  readonly kind: ByteKind;
  readonly relation: ZoneRelation;
  readonly bytes: number;
}

/**
 * Counts the bytes that this process exchanges with servers, and those that it sends to other entry VMs, by kind and by
 * the availability zone of the other side. Load pattern: thousands of requests and messages a second; each is one
 * addition.
 */
export class ByteAccount {
  readonly #availabilityZone: string;
  readonly #totals = new Map<ByteKind, Record<ZoneRelation, number>>();

  /** @param availabilityZone the zone of this process. */
  constructor(availabilityZone: string) {
    this.#availabilityZone = availabilityZone;
  }

  /** @param availabilityZone the zone of the other side; empty or undefined if it is not known. */
  add(kind: ByteKind, availabilityZone: string | undefined, bytes: number): void {
    let totals = this.#totals.get(kind);
    if (totals === undefined) {
      totals = { 'same-zone': 0, 'other-zone': 0, unknown: 0 };
      this.#totals.set(kind, totals);
    }
    totals[this.#relationTo(availabilityZone)] += bytes;
  }

  /** Bytes since the process started; kinds without any are left out. */
  totals(): readonly ByteTotal[] {
    return [...this.#totals].flatMap(([kind, totals]) =>
      (['same-zone', 'other-zone', 'unknown'] as const)
        .filter((relation) => totals[relation] > 0)
        .map((relation) => ({ kind, relation, bytes: totals[relation] })),
    );
  }

  /** Bytes to and from other zones by kind, for the log. */
  otherZoneTotals(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.totals()
        .filter(({ relation }) => relation === 'other-zone')
        .map(({ kind, bytes }) => [kind, bytes]),
    );
  }

  #relationTo(availabilityZone: string | undefined): ZoneRelation {
    if (availabilityZone === undefined || availabilityZone === '') {
      return 'unknown';
    }
    return availabilityZone === this.#availabilityZone ? 'same-zone' : 'other-zone';
  }
}
