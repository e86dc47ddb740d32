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
  /** Extra wait of this candidate, so that candidates do not act at the same time, in milliseconds. */
  readonly handicapMilliseconds: number;
  /** Whether this process hears the assigner at the moment; if so it leaves the store alone. */
  readonly hearsAssigner: () => boolean;
}

/**
 * Takes over a group whose assigner shows no life. Two processes may believe that they are the assigner;
 * only the one whose term is current can write, so an election needs no haste and no vote.
 */
export class Election extends DisposableBase {
  readonly #options: ElectionOptions;
  readonly #onDidWin = this.register(new Emitter<HeldTerm>());
  readonly #onDidSeeHolder = this.register(new Emitter<TermRecord>());
  #seen: { readonly term: number; readonly heartbeat: number; readonly since: number } | undefined;
  #isHolder = false;

  readonly onDidWin = this.#onDidWin.event;
  /** Fires with the holder of the current term whenever it was read. */
  readonly onDidSeeHolder = this.#onDidSeeHolder.event;

  constructor(options: ElectionOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => leaseTiming.candidatePauseMilliseconds,
        () => this.#observe(),
        (error) => {
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
    this.#seen = undefined;
  }

  async #observe(): Promise<void> {
    if (this.#isHolder || this.#options.hearsAssigner()) {
      this.#seen = undefined;
      return;
    }
    const { store } = this.#options;
    const record = await store.readTerm();
    this.#onDidSeeHolder.fire(record);
    const heartbeat = await store.readHeartbeat();
    if (this.#seen?.term !== record.term || this.#seen.heartbeat !== heartbeat) {
      this.#seen = { term: record.term, heartbeat, since: performance.now() };
    }
    const { handicapMilliseconds, self, group } = this.#options;
    const patience = record.holder === undefined ? 0 : leaseTiming.assignerLapseMilliseconds;
    const isLapsed = performance.now() - this.#seen.since >= patience + handicapMilliseconds;
    if (!isLapsed || this.isDisposed()) {
      return;
    }
    const held = await store.takeTerm(record, self);
    if (held === undefined || this.isDisposed()) {
      return;
    }
    this.#isHolder = true;
    this.#options.logger.log('info', 'term-taken', { group, term: held.term });
    this.#onDidWin.fire(held);
  }
}
