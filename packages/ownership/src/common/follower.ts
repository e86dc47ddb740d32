import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { type Assignment, assignmentSchema, type EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import { applyDelta } from '@hickoryhoist/protocol/common/assignmentDelta.js';
import type {
  AssignerMessage,
  Configuration,
  FollowerReport,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { leaseTiming } from './leaseTiming.js';
import type { FollowStream, PeerClient } from './peerClient.js';

/** Fields of a report that do not belong to the state of the follower itself. */
export type ReportDetails = Pick<
  FollowerReport,
  'configurationRevision' | 'isLeaving' | 'servers' | 'load' | 'crashSuspects'
>;

/** Dependencies of a follower. */
export interface FollowerOptions {
  readonly group: string;
  readonly self: EntryVm;
  readonly peers: PeerClient;
  readonly logger: Logger;
  readonly reportDetails: () => ReportDetails;
}

/**
 * Receives the assignments of one group from its assigner and reports back. It keeps the newest assignment received
 * from any source and ignores older ones.
 */
export class Follower extends DisposableBase {
  readonly #options: FollowerOptions;
  readonly #onDidChangeAssignment = this.register(new Emitter<Assignment>());
  readonly #onDidReceiveRefusedFingerprints = this.register(new Emitter<readonly string[]>());
  readonly #onDidReceiveConfiguration = this.register(new Emitter<Configuration>());
  #assignment: Assignment | undefined;
  #assignerAddress: string | undefined;
  #stream: FollowStream | undefined;
  #lastMessageAt = Number.NEGATIVE_INFINITY;
  #openedAt = 0;
  #hasSentIdentity = false;
  #term = 0;
  #isStoreReachable = false;

  readonly onDidChangeAssignment = this.#onDidChangeAssignment.event;
  /** Fires with the fingerprints of the requests that every gateway must refuse. */
  readonly onDidReceiveRefusedFingerprints = this.#onDidReceiveRefusedFingerprints.event;
  readonly onDidReceiveConfiguration = this.#onDidReceiveConfiguration.event;

  constructor(options: FollowerOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => leaseTiming.reportIntervalMilliseconds,
        () => {
          this.#ensureStream();
          this.#report();
        },
        (error) => {
          options.logger.log('warn', 'follower-failed', {
            group: options.group,
            error: describeError(error),
          });
        },
      ),
    );
    this.register(
      toDisposable(() => {
        this.#closeStream();
      }),
    );
  }

  get group(): string {
    return this.#options.group;
  }

  get assignment(): Assignment | undefined {
    return this.#assignment;
  }

  get assignerAddress(): string | undefined {
    return this.#assignerAddress;
  }

  get term(): number {
    return this.#term;
  }

  /** Whether the assigner reached the store according to its last message, and that message is recent. */
  get isStoreReachable(): boolean {
    return this.#isStoreReachable && this.hearsAssigner;
  }

  /** Whether the last message of the assigner is recent. */
  get hearsAssigner(): boolean {
    return performance.now() - this.#lastMessageAt < leaseTiming.peerTimeoutMilliseconds;
  }

  /** Sends a report immediately instead of at the next interval. */
  reportNow(): void {
    this.#report();
  }

  /** Closes the stream to the current assigner and opens one to another. */
  switchAssigner(address: string): void {
    if (this.#assignerAddress === address) {
      return;
    }
    this.#assignerAddress = address;
    this.#closeStream();
    this.#ensureStream();
  }

  /** Applies an assignment from any source. @returns false when it is not newer than the current one. */
  applyIfNewer(assignment: Assignment): boolean {
    if (assignment.revision <= (this.#assignment?.revision ?? 0)) {
      return false;
    }
    this.#assignment = assignment;
    this.#onDidChangeAssignment.fire(assignment);
    return true;
  }

  #ensureStream(): void {
    const isTimedOut =
      !this.hearsAssigner && performance.now() - this.#openedAt > leaseTiming.peerTimeoutMilliseconds;
    if (this.#stream !== undefined && isTimedOut) {
      this.#closeStream();
    }
    if (this.#stream !== undefined || this.#assignerAddress === undefined || this.isDisposed()) {
      return;
    }
    this.#openedAt = performance.now();
    this.#hasSentIdentity = false;
    const stream = this.#options.peers.follow(this.#assignerAddress, {
      onMessage: (message) => {
        if (this.#stream === stream) {
          this.#receive(message);
        }
      },
      onClose: () => {
        if (this.#stream === stream) {
          this.#stream = undefined;
          this.#lastMessageAt = Number.NEGATIVE_INFINITY;
        }
      },
    });
    this.#stream = stream;
    this.#report();
  }

  #closeStream(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    stream?.dispose();
  }

  #report(): void {
    const entryVm = this.#hasSentIdentity ? undefined : this.#options.self;
    this.#hasSentIdentity = this.#stream !== undefined;
    this.#stream?.send({
      group: this.#options.group,
      entryVm,
      appliedRevision: this.#assignment?.revision ?? 0,
      ...this.#options.reportDetails(),
    });
  }

  #receive(message: AssignerMessage): void {
    if (message.isRefused || message.term < this.#term) {
      this.#closeStream();
      return;
    }
    this.#term = message.term;
    this.#lastMessageAt = performance.now();
    this.#isStoreReachable = message.isStoreReachable;
    this.#onDidReceiveRefusedFingerprints.fire(message.refusedFingerprints);
    switch (message.body?.$case) {
      case undefined:
        break;
      case 'configuration':
        this.#onDidReceiveConfiguration.fire(message.body.value);
        break;
      case 'assignment':
        this.applyIfNewer(assignmentSchema.parse(message.body.value));
        break;
      case 'delta': {
        const next =
          this.#assignment === undefined ? undefined : applyDelta(this.#assignment, message.body.value);
        if (next !== undefined) {
          this.applyIfNewer(next);
        }
      }
    }
  }
}
