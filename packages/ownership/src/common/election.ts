import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { AssignmentStore, HeldTerm, TermRecord } from './assignmentStore.js';
import { leaseTiming } from './leaseTiming.js';

/** What a candidate is told about its surroundings. */
export interface ElectionOptions {
  readonly group: string;
  readonly self: EntryVm;
  readonly store: AssignmentStore;
  readonly logger: Logger;
  /** Number of entry VMs that should take over before this one. */
  readonly position: () => number;
  /** Whether this process hears an assigner that reaches the store; if so it leaves the store alone. */
  readonly hearsAssigner: () => boolean;
}

interface SeenHeartbeat {
  readonly term: number;
  readonly heartbeat: number;
  readonly since: number;
}

/**
 * Takes over a group whose assigner shows no life. Two processes may believe that they are the assigner;
 * only the one whose term is current can write, so an election needs no haste and no vote. Candidates look
 * at the store one after the other, so that reads do not grow with the number of entry VMs.
 */
export class Election extends DisposableBase {
  readonly #options: ElectionOptions;
  readonly #onDidWin = this.register(new Emitter<HeldTerm>());
  readonly #onDidSeeHolder = this.register(new Emitter<TermRecord>());
  #silentSince: number | undefined;
  #seen: SeenHeartbeat | undefined;
  #pauseMilliseconds: number = leaseTiming.candidatePauseMilliseconds;
  #isHolder = false;

  readonly onDidWin = this.#onDidWin.event;
  /** Fires with the holder of the current term whenever it was read. */
  readonly onDidSeeHolder = this.#onDidSeeHolder.event;

  constructor(options: ElectionOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => this.#pauseMilliseconds,
        () => this.#observe(),
        (error) => {
          this.#pauseMilliseconds = Math.min(
            this.#pauseMilliseconds * 2,
            leaseTiming.candidateLongestPauseMilliseconds,
          );
          options.logger.log('debug', 'election-read-failed', {
            group: options.group,
            error: describeError(error),
          });
        },
      ),
    );
  }

  /** Makes this process a candidate again after it lost its term. */
  resume(): void {
    this.#isHolder = false;
    this.#reset();
  }

  async #observe(): Promise<void> {
    if (this.#isHolder || this.#options.hearsAssigner()) {
      this.#reset();
      return;
    }
    this.#silentSince ??= performance.now();
    const patience = this.#options.position() * leaseTiming.candidateStepMilliseconds;
    if (performance.now() - this.#silentSince < patience) {
      return;
    }
    await this.#lookAtStore();
    this.#pauseMilliseconds = leaseTiming.candidatePauseMilliseconds;
  }

  async #lookAtStore(): Promise<void> {
    const { store } = this.#options;
    const record = await store.readTerm();
    this.#onDidSeeHolder.fire(record);
    const heartbeat = await store.readHeartbeat();
    if (this.#seen?.term !== record.term || this.#seen.heartbeat !== heartbeat) {
      this.#seen = { term: record.term, heartbeat, since: performance.now() };
    }
    const lapse = record.holder === undefined ? 0 : leaseTiming.assignerLapseMilliseconds;
    if (performance.now() - this.#seen.since >= lapse && !this.isDisposed()) {
      await this.#take(record);
    }
  }

  async #take(record: TermRecord): Promise<void> {
    const { store, self, logger, group } = this.#options;
    const held = await store.acquireTerm(record, self);
    if (held === undefined || this.isDisposed()) {
      return;
    }
    this.#isHolder = true;
    logger.log('info', 'term-taken', { group, term: held.term });
    this.#onDidWin.fire(held);
  }

  #reset(): void {
    this.#silentSince = undefined;
    this.#seen = undefined;
    this.#pauseMilliseconds = leaseTiming.candidatePauseMilliseconds;
  }
}
