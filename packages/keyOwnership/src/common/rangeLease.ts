import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { OwnedRange } from './keyAssignment.js';
import type { GrantResult, KeyGrantClient, ServerEndpoint, ReleaseResult } from './keyGrantClient.js';
import { keyOwnershipTiming, expiryMilliseconds } from './keyOwnershipTiming.js';

/** Target state of a lease. */
export type LeaseGoal =
  /** Keep the lease by renewing its grant. */
  | 'renew'
  /** End the lease and free the keys. */
  | 'revoke';

/** Current state of the server that owns a range. */
export interface OwnerState {
  readonly endpoint: ServerEndpoint;
  /** Whether the process that holds the lease is known to have ended. */
  readonly hasEnded: boolean;
  /** Whether the owner is absent from the registry. */
  readonly isAbsent: boolean;
}

/** The time-limited permission of this process to act as the assigner. */
export interface AssignerLease {
  /** Whether this process may send commands to servers now. */
  isValid(): boolean;
}

/**
 * Remaining time of an unconfirmed grant above which a new fence frees the keys sooner, in milliseconds: a new fence
 * takes a write to the store and a grant.
 */
const MIN_WAIT_FOR_NEW_FENCE_MILLISECONDS = 300;

/** Expiry of the grants of a range that its owner has never been granted under a lower fence. */
export const neverGranted = (): number => Number.NEGATIVE_INFINITY;

/**
 * The assigner's record of the lease of one range: renews the grant at the owner, or revokes it. The range is free
 * once its owner has released it, once the owner's process has ended, or once the last grant that may have reached
 * the owner has expired.
 */
export class RangeLease {
  readonly range: OwnedRange;
  readonly #service: string;
  readonly #client: KeyGrantClient;
  readonly #assignerLease: AssignerLease;
  readonly #logger: Logger;
  #goal: LeaseGoal = 'renew';
  #lastConfirmedAt: number;
  /** Latest time at which a grant under this fence may have reached the owner. */
  #latestArrivalAt = Number.NEGATIVE_INFINITY;
  /** Time at which a grant with an unknown outcome has expired even if the owner applied it late. */
  #unconfirmedGrantExpiresAt = Number.NEGATIVE_INFINITY;
  /**
   * Time at which grants under lower fences have expired, read anew each time: the leases that this one replaces are
   * renewed until the write that replaces them is done. Irrelevant once the owner has seen this fence.
   */
  #lowerFencesExpireAt: () => number;
  #isConfirmed = false;
  #isInFlight = false;
  #isReleased = false;
  #isFenced = false;
  #isRejected = false;
  #isRetired = false;
  #nextCommandAt = 0;
  #handoverForOwner: string | undefined;
  #handoverFromOwner: string | undefined;

  /**
   * @param lowerFencesExpireAt time at which grants to this owner under lower fences have expired; `neverGranted` when
   * there are none.
   */
  constructor(
    service: string,
    range: OwnedRange,
    client: KeyGrantClient,
    assignerLease: AssignerLease,
    logger: Logger,
    lowerFencesExpireAt: () => number,
    handover?: string,
  ) {
    this.#service = service;
    this.range = range;
    this.#client = client;
    this.#assignerLease = assignerLease;
    this.#logger = logger;
    this.#lowerFencesExpireAt = lowerFencesExpireAt;
    this.#lastConfirmedAt = performance.now();
    this.#handoverForOwner = handover;
  }

  /** Whether the owner refused the grant because it has seen a higher fence. */
  get isFenced(): boolean {
    return this.#isFenced;
  }

  /** Whether a command is in flight. The range must not be split or merged meanwhile. */
  get isInFlight(): boolean {
    return this.#isInFlight;
  }

  /** Whether the owner has confirmed a grant under this range's fence. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Time at which all grants that may have reached the owner have expired; infinite while a command is in flight. */
  get expiresAt(): number {
    return this.#isInFlight ? Number.POSITIVE_INFINITY : this.#computeExpiry();
  }

  /** Whether the keys are free except for an unconfirmed grant that a new fence would invalidate. */
  needsNewFence(now: number): boolean {
    return (
      this.#goal === 'revoke' &&
      this.#isReleased &&
      this.#unconfirmedGrantExpiresAt > now + MIN_WAIT_FOR_NEW_FENCE_MILLISECONDS
    );
  }

  /** Handover that the owner returned when it released the range. */
  get handover(): string | undefined {
    return this.#handoverFromOwner;
  }

  get goal(): LeaseGoal {
    return this.#goal;
  }

  /**
   * Whether the owner has confirmed no grant for so long that it is considered unresponsive.
   * @param runningSince time since which this process has been running without a pause. A paused process sends no
   * grants, so the owner cannot confirm any.
   */
  isOwnerUnresponsive(now: number, runningSince: number): boolean {
    return (
      now - Math.max(this.#lastConfirmedAt, runningSince) > keyOwnershipTiming.unresponsiveAfterMilliseconds
    );
  }

  /** Creates the lease of a part of this range, with the state of this lease. */
  forSubrange(range: OwnedRange): RangeLease {
    const part = new RangeLease(
      this.#service,
      range,
      this.#client,
      this.#assignerLease,
      this.#logger,
      this.#lowerFencesExpireAt,
    );
    part.#lastConfirmedAt = this.#lastConfirmedAt;
    part.#latestArrivalAt = this.#latestArrivalAt;
    part.#unconfirmedGrantExpiresAt = this.#unconfirmedGrantExpiresAt;
    part.#isConfirmed = this.#isConfirmed;
    return part;
  }

  /** Starts to revoke the lease. */
  revoke(reason: string): void {
    if (this.#goal === 'renew') {
      this.#goal = 'revoke';
      this.#nextCommandAt = 0;
      const { from, to, ownerId, fence } = this.range;
      this.#logger.log('info', 'lease-revoked', {
        service: this.#service,
        from,
        to,
        owner: ownerId,
        fence,
        reason,
      });
    }
  }

  /** Records that the write that created the lease is done: from now on the owner can be asked to confirm it. */
  start(now: number): void {
    this.#lastConfirmedAt = now;
  }

  /** Sends no further commands: a planned write, which may be applied at any time, gives the keys away. */
  retire(): void {
    this.#isRetired = true;
  }

  /** Whether no server can hold the keys any more, so that they may be granted to another one. */
  isFree(owner: OwnerState, now: number): boolean {
    // A rejected command at the address of an absent server comes from another process, so the owner has ended.
    if (owner.hasEnded || (owner.isAbsent && this.#isRejected)) {
      return true;
    }
    if (this.#isInFlight) {
      return false;
    }
    return (
      (this.#isReleased && now > this.#unconfirmedGrantExpiresAt) ||
      (this.#goal === 'revoke' && now > this.#computeExpiry())
    );
  }

  /** Sends the next command if one is due. Resolves once its result is recorded. */
  async sendDueCommand(owner: OwnerState, now: number): Promise<void> {
    if (this.#isInFlight || this.#isReleased || this.#isRetired || now < this.#nextCommandAt) {
      return;
    }
    if (!this.#assignerLease.isValid()) {
      return;
    }
    this.#isInFlight = true;
    try {
      await (this.#goal === 'renew' || this.#needsFencing(now)
        ? this.#grant(owner.endpoint)
        : this.#release(owner.endpoint));
    } finally {
      this.#isInFlight = false;
    }
  }

  /** Whether grants under lower fences may still apply. They are void once the owner has seen this fence. */
  #needsFencing(now: number): boolean {
    return !this.#isConfirmed && now < this.#lowerFencesExpireAt();
  }

  #computeExpiry(): number {
    const expiresAt = Math.max(
      this.#latestArrivalAt + expiryMilliseconds(keyOwnershipTiming.leaseMilliseconds),
      this.#unconfirmedGrantExpiresAt,
    );
    return this.#isConfirmed ? expiresAt : Math.max(expiresAt, this.#lowerFencesExpireAt());
  }

  async #grant(endpoint: ServerEndpoint): Promise<void> {
    const sentAt = performance.now();
    const { from, to, fence } = this.range;
    const result = await this.#client.grant(
      endpoint,
      {
        from,
        to,
        fence,
        durationMilliseconds: keyOwnershipTiming.leaseMilliseconds,
        handover: this.#handoverForOwner,
      },
      keyOwnershipTiming.grantTimeoutMilliseconds,
      () => this.#assignerLease.isValid(),
    );
    this.#recordGrant(result, sentAt);
  }

  #recordGrant(result: GrantResult, sentAt: number): void {
    const now = performance.now();
    switch (result.kind) {
      case 'granted':
        this.#isRejected = false;
        this.#latestArrivalAt = now;
        this.#lastConfirmedAt = sentAt;
        this.#isConfirmed = true;
        this.#lowerFencesExpireAt = neverGranted;
        this.#handoverForOwner = undefined;
        this.#nextCommandAt =
          this.#goal === 'renew' ? sentAt + keyOwnershipTiming.renewalIntervalMilliseconds : 0;
        return;
      case 'in-doubt':
        this.#latestArrivalAt = now;
        this.#unconfirmedGrantExpiresAt = now + expiryMilliseconds(keyOwnershipTiming.leaseMilliseconds);
        this.#nextCommandAt = now + keyOwnershipTiming.retryDelayMilliseconds;
        break;
      case 'fenced':
        this.#isFenced = true;
        this.#nextCommandAt = Number.POSITIVE_INFINITY;
        break;
      case 'rejected':
        this.#isRejected = true;
        this.#nextCommandAt = now + keyOwnershipTiming.retryDelayMilliseconds;
        break;
      case 'not-sent':
        this.#nextCommandAt = now + keyOwnershipTiming.retryDelayMilliseconds;
    }
    const { from, to, ownerId, fence } = this.range;
    this.#logger.log('info', 'grant-failed', {
      service: this.#service,
      from,
      to,
      owner: ownerId,
      fence,
      result: result.kind,
      reason:
        result.kind === 'rejected'
          ? result.status
          : result.kind === 'fenced'
            ? 'higher fence'
            : result.reason,
      sinceConfirmed: Math.round(now - this.#lastConfirmedAt),
    });
  }

  async #release(endpoint: ServerEndpoint): Promise<void> {
    const { from, to, fence, ownerId } = this.range;
    const result: ReleaseResult = await this.#client.release(
      endpoint,
      { from, to, fence },
      keyOwnershipTiming.releaseTimeoutMilliseconds,
    );
    if (result.kind === 'released') {
      this.#handoverFromOwner = result.handover;
      this.#isReleased = true;
      this.#nextCommandAt = Number.POSITIVE_INFINITY;
    } else {
      this.#nextCommandAt = performance.now() + keyOwnershipTiming.retryDelayMilliseconds;
    }
    this.#logger.log('info', 'release-answered', {
      service: this.#service,
      from,
      to,
      owner: ownerId,
      fence,
      result: result.kind,
      reason: result.kind === 'failed' ? result.reason : undefined,
      doubtLeft: Math.max(0, Math.round(this.#unconfirmedGrantExpiresAt - performance.now())),
    });
  }
}
