import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { AssignmentStore, HeldTerm, TermRecord } from './assignmentStore.js';
import { leaseTiming } from './leaseTiming.js';

/** Dependencies of an election. */
export interface ElectionOptions {
  readonly group: string;
  readonly self: EntryVm;
  readonly store: AssignmentStore;
  readonly logger: Logger;
  /** Number of entry VMs that precede this one as candidates; 0 is the first candidate. */
  readonly rank: () => number;
  /** Whether messages arrive from an assigner that reaches the store. The candidate then does not poll the store. */
  readonly hasHealthyAssigner: () => boolean;
}

interface ObservedHeartbeat {
  readonly term: number;
  readonly heartbeat: number;
  readonly since: number;
}

/**
 * Acquires the term of a group when the heartbeat of its assigner has stopped. Two processes may believe that they
 * are the assigner, but only the holder of the current term can write to the store, so an election needs neither
 * precise timing nor a vote. Candidates start to poll the store one after the other, in the order of their ranks,
 * so that the number of reads does not grow with the number of entry VMs.
 */
export class AssignerElection extends DisposableBase {
  readonly #options: ElectionOptions;
  readonly #onDidWin = this.register(new Emitter<HeldTerm>());
  readonly #onDidReadTerm = this.register(new Emitter<TermRecord>());
  #withoutAssignerSince: number | undefined;
  #observedHeartbeat: ObservedHeartbeat | undefined;
  #pollIntervalMilliseconds: number = leaseTiming.candidatePollIntervalMilliseconds;
  #isElected = false;

  readonly onDidWin = this.#onDidWin.event;
  /** Fires with the current term and its holder each time they have been read from the store. */
  readonly onDidReadTerm = this.#onDidReadTerm.event;

  constructor(options: ElectionOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => this.#pollIntervalMilliseconds,
        () => this.#poll(),
        (error) => {
          this.#pollIntervalMilliseconds = Math.min(
            this.#pollIntervalMilliseconds * 2,
            leaseTiming.candidateMaximumBackoffMilliseconds,
          );
          options.logger.log('debug', 'election-read-failed', {
            group: options.group,
            error: describeError(error),
          });
        },
      ),
    );
  }

  /** Makes this process a candidate again after it has lost its term. */
  resume(): void {
    this.#isElected = false;
    this.#reset();
  }

  async #poll(): Promise<void> {
    if (this.#isElected || this.#options.hasHealthyAssigner()) {
      this.#reset();
      return;
    }
    this.#withoutAssignerSince ??= performance.now();
    const rankDelay = this.#options.rank() * leaseTiming.candidateRankDelayMilliseconds;
    if (performance.now() - this.#withoutAssignerSince < rankDelay) {
      return;
    }
    await this.#readStore();
    this.#pollIntervalMilliseconds = leaseTiming.candidatePollIntervalMilliseconds;
  }

  async #readStore(): Promise<void> {
    const { store } = this.#options;
    const record = await store.readTerm();
    this.#onDidReadTerm.fire(record);
    const heartbeat = await store.readHeartbeat();
    if (this.#observedHeartbeat?.term !== record.term || this.#observedHeartbeat.heartbeat !== heartbeat) {
      this.#observedHeartbeat = { term: record.term, heartbeat, since: performance.now() };
    }
    const timeout = record.holder === undefined ? 0 : leaseTiming.assignerTimeoutMilliseconds;
    if (performance.now() - this.#observedHeartbeat.since >= timeout && !this.isDisposed()) {
      await this.#campaign(record);
    }
  }

  async #campaign(record: TermRecord): Promise<void> {
    const { store, self, logger, group } = this.#options;
    const heldTerm = await store.acquireTerm(record, self);
    if (heldTerm === undefined || this.isDisposed()) {
      return;
    }
    this.#isElected = true;
    logger.log('info', 'term-acquired', { group, term: heldTerm.term });
    this.#onDidWin.fire(heldTerm);
  }

  #reset(): void {
    this.#withoutAssignerSince = undefined;
    this.#observedHeartbeat = undefined;
    this.#pollIntervalMilliseconds = leaseTiming.candidatePollIntervalMilliseconds;
  }
}
