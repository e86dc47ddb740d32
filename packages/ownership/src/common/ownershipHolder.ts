import { type Disposable, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type {
  LeaseRenewal,
  OwnershipGrant,
  OwnershipCommand,
  OwnershipState,
} from '@hickoryhoist/protocol/common/serverMessages.js';
import { leaseTiming } from './leaseTiming.js';

/** Revision that makes the first placement of a group. */
const FIRST_REVISION = 1;

/** What a process owns, and the fences below which it refuses orders. */
export interface OwnershipHolderOptions {
  readonly incarnation: string;
  /** Monotonic clock in milliseconds; it must advance while the process is paused. */
  readonly now: () => number;
}

/**
 * The side of a server that checks fences: it applies grants and renewals, and says whether it owns a key
 * at this moment. Ownership needs both a grant that covers the key and a lease that has not lapsed.
 */
export class OwnershipHolder {
  readonly #incarnation: string;
  readonly #now: () => number;
  readonly #inFlight = new Map<KeyHash, number>();
  #grant: OwnershipGrant | undefined;
  #slices: ReadonlySet<number> = new Set();
  #pins: ReadonlySet<KeyHash> = new Set();
  #excludedKeys: ReadonlySet<KeyHash> = new Set();
  #slicesHeldSince = new Map<number, number | undefined>();
  #renewerFence = 0;
  #leaseEndMilliseconds = 0;
  #isLeaving = false;

  constructor(options: OwnershipHolderOptions) {
    this.#incarnation = options.incarnation;
    this.#now = options.now;
  }

  /** End of the lease on this process's clock, in milliseconds. */
  get leaseEndMilliseconds(): number {
    return this.#leaseEndMilliseconds;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  get epoch(): number {
    return this.#grant?.epoch ?? 0;
  }

  /** Announces a planned stop in every later answer. */
  leave(): void {
    this.#isLeaving = true;
  }

  handle(order: OwnershipCommand): OwnershipState {
    switch (order.kind) {
      case 'describe':
        return this.#describe(true);
      case 'renew':
        return this.#describe(this.#renew(order));
      case 'grant':
        return this.#describe(this.#apply(order));
    }
  }

  /** Whether this process owns a key now. */
  owns(keyHash: KeyHash): boolean {
    return this.#now() < this.#leaseEndMilliseconds && this.#isGranted(keyHash);
  }

  /**
   * Wall-clock time since which this process has owned the slice of a key, in milliseconds since 1970.
   * Undefined when nobody owned the slice before.
   */
  ownedSince(keyHash: KeyHash): number | undefined {
    return this.#slicesHeldSince.get(sliceOf(keyHash, this.#grant?.sliceCount ?? 1));
  }

  /** Counts a request on a key as in flight until the result is disposed. */
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

  #renew(renewal: LeaseRenewal): boolean {
    const isCurrent =
      renewal.incarnation === this.#incarnation &&
      renewal.group === this.#grant?.group &&
      renewal.epoch === this.epoch &&
      renewal.renewerFence >= this.#renewerFence;
    if (!isCurrent) {
      return false;
    }
    this.#renewerFence = renewal.renewerFence;
    const latestEnd = this.#now() + leaseTiming.leaseMilliseconds;
    const end = Math.min(renewal.validUntilMilliseconds, latestEnd);
    this.#leaseEndMilliseconds = Math.max(this.#leaseEndMilliseconds, end);
    return true;
  }

  #apply(grant: OwnershipGrant): boolean {
    if (grant.incarnation !== this.#incarnation || this.#isOutdated(grant)) {
      return false;
    }
    if (grant.epoch > this.epoch) {
      this.#leaseEndMilliseconds = 0;
      this.#slicesHeldSince.clear();
    }
    this.#slicesHeldSince = this.#extendHeldSince(grant);
    this.#grant = grant;
    this.#renewerFence = Math.max(this.#renewerFence, grant.renewerFence);
    this.#slices = new Set(grant.slices);
    this.#pins = new Set(grant.pins);
    this.#excludedKeys = new Set(grant.excludedKeys);
    return true;
  }

  #extendHeldSince(grant: OwnershipGrant): Map<number, number | undefined> {
    const gainedAt = grant.revision === FIRST_REVISION ? undefined : Date.now();
    return new Map(
      grant.slices.map((slice) => [
        slice,
        this.#slicesHeldSince.has(slice) ? this.#slicesHeldSince.get(slice) : gainedAt,
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
