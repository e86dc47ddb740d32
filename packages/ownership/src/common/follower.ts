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

/** Parts of a report that the follower itself does not know. */
export type ReportDetails = Pick<
  FollowerReport,
  'configurationRevision' | 'isLeaving' | 'servers' | 'load' | 'crashSuspects'
>;

/** What a follower needs from its surroundings. */
export interface FollowerOptions {
  readonly group: string;
  readonly self: EntryVm;
  readonly peers: PeerClient;
  readonly logger: Logger;
  readonly reportDetails: () => ReportDetails;
}

/**
 * Follows the assigner of one group. It keeps the newest assignment that it has seen from any source and
 * refuses every older one.
 */
export class Follower extends DisposableBase {
  readonly #options: FollowerOptions;
  readonly #onDidChangeAssignment = this.register(new Emitter<Assignment>());
  readonly #onDidReceiveRefusals = this.register(new Emitter<readonly string[]>());
  readonly #onDidReceiveConfiguration = this.register(new Emitter<Configuration>());
  #assignment: Assignment | undefined;
  #assignerAddress: string | undefined;
  #stream: FollowStream | undefined;
  #lastHeardAt = Number.NEGATIVE_INFINITY;
  #openedAt = 0;
  #isIntroduced = false;
  #term = 0;
  #isStoreReachable = false;

  readonly onDidChangeAssignment = this.#onDidChangeAssignment.event;
  /** Fires with the fingerprints of the requests that every gateway must refuse. */
  readonly onDidReceiveRefusals = this.#onDidReceiveRefusals.event;
  readonly onDidReceiveConfiguration = this.#onDidReceiveConfiguration.event;

  constructor(options: FollowerOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => leaseTiming.reportPauseMilliseconds,
        () => {
          this.#keepStream();
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

  /** Whether the assigner said lately that it reaches the platform's store. */
  get isStoreReachable(): boolean {
    return this.#isStoreReachable && this.hearsAssigner;
  }

  get hearsAssigner(): boolean {
    return performance.now() - this.#lastHeardAt < leaseTiming.peerSilenceMilliseconds;
  }

  /** Reports at once instead of at the next turn. */
  reportNow(): void {
    this.#report();
  }

  /** Turns to another assigner. */
  switchAssigner(address: string): void {
    if (this.#assignerAddress === address) {
      return;
    }
    this.#assignerAddress = address;
    this.#closeStream();
    this.#keepStream();
  }

  /** Takes an assignment from any source; an older one than the known one is refused. */
  offer(assignment: Assignment): boolean {
    if (assignment.revision <= (this.#assignment?.revision ?? 0)) {
      return false;
    }
    this.#assignment = assignment;
    this.#onDidChangeAssignment.fire(assignment);
    return true;
  }

  #keepStream(): void {
    const isQuiet =
      !this.hearsAssigner && performance.now() - this.#openedAt > leaseTiming.peerSilenceMilliseconds;
    if (this.#stream !== undefined && isQuiet) {
      this.#closeStream();
    }
    if (this.#stream !== undefined || this.#assignerAddress === undefined || this.isDisposed()) {
      return;
    }
    this.#openedAt = performance.now();
    this.#isIntroduced = false;
    const stream = this.#options.peers.follow(this.#assignerAddress, {
      onMessage: (message) => {
        if (this.#stream === stream) {
          this.#receive(message);
        }
      },
      onClose: () => {
        if (this.#stream === stream) {
          this.#stream = undefined;
          this.#lastHeardAt = Number.NEGATIVE_INFINITY;
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
    const entryVm = this.#isIntroduced ? undefined : this.#options.self;
    this.#isIntroduced = this.#stream !== undefined;
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
    this.#lastHeardAt = performance.now();
    this.#isStoreReachable = message.isStoreReachable;
    this.#onDidReceiveRefusals.fire(message.refusedFingerprints);
    switch (message.body?.$case) {
      case undefined:
        break;
      case 'configuration':
        this.#onDidReceiveConfiguration.fire(message.body.value);
        break;
      case 'assignment':
        this.offer(assignmentSchema.parse(message.body.value));
        break;
      case 'delta': {
        const next =
          this.#assignment === undefined ? undefined : applyDelta(this.#assignment, message.body.value);
        if (next !== undefined) {
          this.offer(next);
        }
      }
    }
  }
}
