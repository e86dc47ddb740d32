import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { OwnedRange } from './keyAssignment.js';
import type { GrantResult, KeyGrantClient, ServerEndpoint, ReleaseResult } from './keyGrantClient.js';
import { keyOwnershipTiming, lapseMilliseconds } from './keyOwnershipTiming.js';

/** What the assigner wants of a range's owner. */
export type HoldingGoal =
  /** Renew the grant. */
  | 'keep'
  /** Take the keys back. */
  | 'give-up';

/** What is known of a range's owner right now. */
export interface HoldingOwner {
  readonly target: ServerEndpoint;
  /** Whether the process that was granted the keys is known to have ended. */
  readonly hasEnded: boolean;
  /** Whether the owner is no longer announced. */
  readonly isMissing: boolean;
}

/** Rights that an assigner acts under. */
export interface AssignerLease {
  /** Whether this process may order servers now. */
  isValid(): boolean;
}

/** Rest of a doubt that is worth a new fence, which takes a write and a grant; in milliseconds. */
const LONG_DOUBT_MILLISECONDS = 300;

/**
 * One range at its owner: renews the grant, or takes the keys back. A range is free when its owner released it,
 * when the owner's process has ended, or when the last grant that may have arrived has lapsed.
 */
export class RangeHolding {
  readonly range: OwnedRange;
  readonly #service: string;
  readonly #client: KeyGrantClient;
  readonly #right: AssignerLease;
  readonly #logger: Logger;
  #goal: HoldingGoal = 'keep';
  #lastConfirmedAt: number;
  /** Latest time at which a grant under this fence may have reached the owner. */
  #latestArrivalAt = Number.NEGATIVE_INFINITY;
  /** Time until which a grant without an answer may be carried out and have effect. */
  #doubtUntil = Number.NEGATIVE_INFINITY;
  /** Time until which orders under lower fences may have effect, unless the owner has seen this fence. */
  readonly #lowerFencesUntil: () => number;
  #isConfirmed = false;
  #isInFlight = false;
  #isReleased = false;
  #isFenced = false;
  #isRejected = false;
  #nextOrderAt = 0;
  #grantHandover: string | undefined;
  #releasedHandover: string | undefined;

  /**
   * @param lowerFencesUntil time until which orders to this owner under lower fences may have effect; negative
   * infinity when there are none.
   */
  constructor(
    service: string,
    range: OwnedRange,
    client: KeyGrantClient,
    right: AssignerLease,
    logger: Logger,
    lowerFencesUntil: () => number,
    handover?: string,
  ) {
    this.#service = service;
    this.range = range;
    this.#client = client;
    this.#right = right;
    this.#logger = logger;
    this.#lowerFencesUntil = lowerFencesUntil;
    this.#lastConfirmedAt = performance.now();
    this.#grantHandover = handover;
  }

  /** Whether the owner refused the grant because it has seen a higher fence. */
  get isFenced(): boolean {
    return this.#isFenced;
  }

  /** Whether an order is on its way; the range must not be split then. */
  get isInFlight(): boolean {
    return this.#isInFlight;
  }

  /** Whether the owner has confirmed a grant under this range's fence. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Time until which orders sent to this owner may have effect. */
  get effectUntil(): number {
    return this.#lapsesAt();
  }

  /** Whether the keys wait for orders in doubt that a new fence would make void. */
  wantsNewFence(now: number): boolean {
    return this.#goal === 'give-up' && this.#isReleased && this.#doubtUntil > now + LONG_DOUBT_MILLISECONDS;
  }

  /** What the former owner handed over when it released the range. */
  get handover(): string | undefined {
    return this.#releasedHandover;
  }

  get goal(): HoldingGoal {
    return this.#goal;
  }

  /**
   * Whether the owner has not confirmed its grant for so long that it counts as lost.
   * @param runningSince since when this process has been running without a pause: while it was paused, it sent
   * nothing that could have been confirmed.
   */
  isLost(now: number, runningSince: number): boolean {
    return now - Math.max(this.#lastConfirmedAt, runningSince) > keyOwnershipTiming.lostAfter;
  }

  /** A part of this range at the same owner, with everything that is known of the whole. */
  part(range: OwnedRange): RangeHolding {
    const part = new RangeHolding(
      this.#service,
      range,
      this.#client,
      this.#right,
      this.#logger,
      this.#lowerFencesUntil,
    );
    part.#lastConfirmedAt = this.#lastConfirmedAt;
    part.#latestArrivalAt = this.#latestArrivalAt;
    part.#doubtUntil = this.#doubtUntil;
    part.#isConfirmed = this.#isConfirmed;
    return part;
  }

  /** Starts to take the keys back. */
  giveUp(reason: string): void {
    if (this.#goal === 'keep') {
      this.#goal = 'give-up';
      this.#nextOrderAt = 0;
      const { from, to, ownerId, fence } = this.range;
      this.#logger.log('info', 'keys-taken-back', {
        service: this.#service,
        from,
        to,
        owner: ownerId,
        fence,
        reason,
      });
    }
  }

  /** Whether nobody can hold these keys any more, so that they may be granted to another server. */
  isFree(owner: HoldingOwner, now: number): boolean {
    // Whoever refuses the order at the address of a missing server is another process: the owner has ended.
    if (owner.hasEnded || (owner.isMissing && this.#isRejected)) {
      return true;
    }
    if (this.#isInFlight) {
      return false;
    }
    return (
      (this.#isReleased && now > this.#doubtUntil) || (this.#goal === 'give-up' && now > this.#lapsesAt())
    );
  }

  /** Sends the next order when one is due. Resolves when it was answered. */
  async advance(owner: HoldingOwner, now: number): Promise<void> {
    if (this.#isInFlight || this.#isReleased || now < this.#nextOrderAt) {
      return;
    }
    if (!this.#right.isValid()) {
      return;
    }
    this.#isInFlight = true;
    try {
      await (this.#goal === 'keep' || this.#needsFencing(now)
        ? this.#grant(owner.target)
        : this.#release(owner.target));
    } finally {
      this.#isInFlight = false;
    }
  }

  /** Orders under lower fences are void once the owner has seen this fence. */
  #needsFencing(now: number): boolean {
    return !this.#isConfirmed && now < this.#lowerFencesUntil();
  }

  #lapsesAt(): number {
    const lapsesAt = Math.max(
      this.#latestArrivalAt + lapseMilliseconds(keyOwnershipTiming.hold),
      this.#doubtUntil,
    );
    return this.#isConfirmed ? lapsesAt : Math.max(lapsesAt, this.#lowerFencesUntil());
  }

  async #grant(target: ServerEndpoint): Promise<void> {
    const sentAt = performance.now();
    const { from, to, fence } = this.range;
    const result = await this.#client.grant(
      target,
      { from, to, fence, durationMilliseconds: keyOwnershipTiming.hold, handover: this.#grantHandover },
      keyOwnershipTiming.grantTimeout,
      () => this.#right.isValid(),
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
        this.#grantHandover = undefined;
        this.#nextOrderAt = this.#goal === 'keep' ? sentAt + keyOwnershipTiming.renewal : 0;
        return;
      case 'in-doubt':
        this.#latestArrivalAt = now;
        this.#doubtUntil = now + lapseMilliseconds(keyOwnershipTiming.hold);
        this.#nextOrderAt = now + keyOwnershipTiming.retry;
        break;
      case 'fenced':
        this.#isFenced = true;
        this.#nextOrderAt = Number.POSITIVE_INFINITY;
        break;
      case 'rejected':
        this.#isRejected = true;
        this.#nextOrderAt = now + keyOwnershipTiming.retry;
        break;
      case 'not-sent':
        this.#nextOrderAt = now + keyOwnershipTiming.retry;
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

  async #release(target: ServerEndpoint): Promise<void> {
    const { from, to, fence, ownerId } = this.range;
    const result: ReleaseResult = await this.#client.release(
      target,
      { from, to, fence },
      keyOwnershipTiming.releaseTimeout,
    );
    if (result.kind === 'released') {
      this.#releasedHandover = result.handover;
      this.#isReleased = true;
      this.#nextOrderAt = Number.POSITIVE_INFINITY;
    } else {
      this.#nextOrderAt = performance.now() + keyOwnershipTiming.retry;
    }
    this.#logger.log('info', 'release-answered', {
      service: this.#service,
      from,
      to,
      owner: ownerId,
      fence,
      result: result.kind,
      reason: result.kind === 'failed' ? result.reason : undefined,
      doubtLeft: Math.max(0, Math.round(this.#doubtUntil - performance.now())),
    });
  }
}
