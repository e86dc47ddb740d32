import { type Disposable, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type {
  LeaseRenewal,
  OwnershipCommand,
  OwnershipGrant,
  OwnershipState,
} from '@hickoryhoist/protocol/common/serverMessages.js';
import { leaseTiming } from './leaseTiming.js';

/** Revision of the first assignment of a group. */
const FIRST_REVISION = 1;

/** Options of an ownership holder. */
export interface OwnershipHolderOptions {
  readonly incarnation: string;
  /** Monotonic clock in milliseconds. It must keep advancing while the process is suspended. */
  readonly now: () => number;
}

/**
 * Keeps the ownership state of a server that supports fencing. It applies grants and lease renewals, rejects outdated
 * ones, and tells whether the server owns a key at present: a grant must cover the key and the lease must not have
 * expired.
 */
export class OwnershipHolder {
  readonly #incarnation: string;
  readonly #now: () => number;
  readonly #inFlight = new Map<KeyHash, number>();
  #grant: OwnershipGrant | undefined;
  #slices: ReadonlySet<number> = new Set();
  #pins: ReadonlySet<KeyHash> = new Set();
  #excludedKeys: ReadonlySet<KeyHash> = new Set();
  #slicesOwnedSince = new Map<number, number | undefined>();
  #renewerFence = 0;
  #leaseEndMilliseconds = 0;
  #isLeaving = false;

  constructor(options: OwnershipHolderOptions) {
    this.#incarnation = options.incarnation;
    this.#now = options.now;
  }

  /** End of the lease on the clock of this process, in milliseconds. */
  get leaseEndMilliseconds(): number {
    return this.#leaseEndMilliseconds;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  get epoch(): number {
    return this.#grant?.epoch ?? 0;
  }

  /** Announces a planned shutdown in every later response. */
  leave(): void {
    this.#isLeaving = true;
  }

  handle(command: OwnershipCommand): OwnershipState {
    switch (command.kind) {
      case 'describe':
        return this.#describe(true);
      case 'renew':
        return this.#describe(this.#renewLease(command));
      case 'grant':
        return this.#describe(this.#applyGrant(command));
    }
  }

  /** Whether this process owns a key at present. */
  owns(keyHash: KeyHash): boolean {
    return this.#now() < this.#leaseEndMilliseconds && this.#isGranted(keyHash);
  }

  /**
   * Returns the wall-clock time since which this process has owned the slice of a key, in milliseconds since 1970.
   * It is undefined when the slice had no previous owner.
   */
  ownedSince(keyHash: KeyHash): number | undefined {
    return this.#slicesOwnedSince.get(sliceOf(keyHash, this.#grant?.sliceCount ?? 1));
  }

  /** Counts a request for a key as in flight until the returned object is disposed. */
  track(keyHash: KeyHash): Disposable {
    this.#inFlight.set(keyHash, (this.#inFlight.get(keyHash) ?? 0) + 1);
    return toDisposable(() => {
      const remaining = (this.#inFlight.get(keyHash) ?? 1) - 1;
      if (remaining === 0) {
        this.#inFlight.delete(keyHash);
      } else {
        this.#inFlight.set(keyHash, remaining);
      }
    });
  }

  #isGranted(keyHash: KeyHash): boolean {
    if (this.#pins.has(keyHash)) {
      return true;
    }
    const slice = sliceOf(keyHash, this.#grant?.sliceCount ?? 1);
    return this.#slices.has(slice) && !this.#excludedKeys.has(keyHash);
  }

  #renewLease(renewal: LeaseRenewal): boolean {
    const isCurrent =
      renewal.incarnation === this.#incarnation &&
      renewal.group === this.#grant?.group &&
      renewal.epoch === this.epoch &&
      renewal.renewerFence >= this.#renewerFence;
    if (!isCurrent) {
      return false;
    }
    this.#renewerFence = renewal.renewerFence;
    const maximumEnd = this.#now() + leaseTiming.leaseDurationMilliseconds;
    const end = Math.min(renewal.validUntilMilliseconds, maximumEnd);
    this.#leaseEndMilliseconds = Math.max(this.#leaseEndMilliseconds, end);
    return true;
  }

  #applyGrant(grant: OwnershipGrant): boolean {
    if (grant.incarnation !== this.#incarnation || this.#isOutdated(grant)) {
      return false;
    }
    if (grant.epoch > this.epoch) {
      this.#leaseEndMilliseconds = 0;
      this.#slicesOwnedSince.clear();
    }
    this.#slicesOwnedSince = this.#updateOwnedSince(grant);
    this.#grant = grant;
    this.#renewerFence = Math.max(this.#renewerFence, grant.renewerFence);
    this.#slices = new Set(grant.slices);
    this.#pins = new Set(grant.pins);
    this.#excludedKeys = new Set(grant.excludedKeys);
    return true;
  }

  #updateOwnedSince(grant: OwnershipGrant): Map<number, number | undefined> {
    const gainedAt = grant.revision === FIRST_REVISION ? undefined : Date.now();
    return new Map(
      grant.slices.map((slice) => [
        slice,
        this.#slicesOwnedSince.has(slice) ? this.#slicesOwnedSince.get(slice) : gainedAt,
      ]),
    );
  }

  #isOutdated(grant: OwnershipGrant): boolean {
    const current = this.#grant;
    return (
      current !== undefined &&
      (grant.group !== current.group || grant.epoch < current.epoch || grant.revision < current.revision)
    );
  }

  #describe(accepted: boolean): OwnershipState {
    return {
      accepted,
      incarnation: this.#incarnation,
      clockMilliseconds: this.#now(),
      epoch: this.epoch,
      revision: this.#grant?.revision ?? 0,
      renewerFence: this.#renewerFence,
      drainingKeys: [...this.#inFlight.keys()].filter((keyHash) => !this.#isGranted(keyHash)),
      isLeaving: this.#isLeaving,
    };
  }
}
