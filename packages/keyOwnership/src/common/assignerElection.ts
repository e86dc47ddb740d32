import { z } from 'zod';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { LeaseClock } from '@hickoryhoist/base/common/leaseClock.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from './assignmentStore.js';
import { keyOwnershipTiming } from './keyOwnershipTiming.js';

/** Table of the assigner's confirmations. It is apart, so that nobody is woken by them. */
export const CONFIRMATION_TABLE = 'hickoryhoist-confirmation';
/** Silence of the assigner after which it is replaced, in milliseconds: several missed heartbeats. */
const SILENCE_MILLISECONDS = 700;
/** Time between the attempts of candidates of neighbouring rank, in milliseconds. */
const RANK_STEP_MILLISECONDS = 120;
/** Time without the store after which an assigner that still lives is replaced, in milliseconds. */
const ASSIGNER_WITHOUT_STORE_MILLISECONDS = 2_000;
const CONFIRMATION_RETRY_MILLISECONDS = 400;
/** Time between attempts to resign, in milliseconds. */
const RESIGNATION_MILLISECONDS = 100;

const assignerSchema = z.object({
  term: z.int().min(1),
  id: z.string(),
  incarnation: z.string(),
  hasResigned: z.boolean(),
});

type AssignerRow = z.output<typeof assignerSchema>;

/** This process as a candidate. */
export interface Candidate {
  readonly id: string;
  readonly incarnation: string;
}

/** What a process heard of an assigner, from its heartbeat. */
export interface AssignerHeartbeat {
  readonly term: number;
  readonly id: string;
  /** Milliseconds since the assigner last had an answer from the store. */
  readonly storeSilenceMilliseconds: number;
}

/** What another process states about an assigner that it hears. */
export interface Acknowledgement extends Candidate {
  /** Newest term that it has heard of. */
  readonly term: number;
  /** The assigner's clock when it sent the heartbeat that is acknowledged. */
  readonly heartbeatSentAt: number;
  readonly storeSilenceMilliseconds: number;
}

/** A term that this process has won. */
export interface HeldTerm {
  readonly term: number;
  /** Version of the row that names this process. */
  readonly rowVersion: number;
  /** The assigner before, if it may still be at work. */
  readonly former: Candidate | undefined;
}

/** Surroundings of an election. */
export interface ElectionOptions {
  readonly self: Candidate;
  readonly store: RowStore;
  readonly logger: Logger;
  /** The newest known row of the assigner. */
  readonly assignerRow: () => StoredRow | undefined;
  /** Position of this process among the candidates; 0 stands first. */
  readonly rank: () => number;
  readonly isStoreReachable: () => boolean;
  /** All processes that may be elected, without this one. */
  readonly peerIds: () => readonly string[];
  /** Whether that incarnation of a process is known to have ended. */
  readonly hasEnded: (candidate: Candidate) => boolean;
}

/** Chooses the assigner by a conditional write, and watches over its right to act. */
export class AssignerElection {
  readonly #options: ElectionOptions;
  readonly #clock = new LeaseClock();
  readonly #onDidChange = new Emitter<HeldTerm | undefined>();
  #won: HeldTerm | undefined;
  #rightEndsAt = 0;
  #lastHeardAt = performance.now();
  #heardTerm = 0;
  #storeSilence = 0;
  #isBusy = false;
  #nextConfirmationAt = 0;
  #isLeaving = false;
  #lastReadRow: { row: AssignerRow; version: number } | undefined;
  #confirmedAt = 0;
  #formerRightEndsAt = 0;
  readonly #acknowledgements = new Map<string, Acknowledgement>();

  /** Fires when this process becomes the assigner (with its term) or stops to be it. */
  readonly onDidChange = this.#onDidChange.event;

  constructor(options: ElectionOptions) {
    this.#options = options;
  }

  get heldTerm(): HeldTerm | undefined {
    return this.#won;
  }

  /** Whether this process may order servers at this moment. */
  hasValidLease(): boolean {
    return this.#won !== undefined && this.#clock.now() < this.#rightEndsAt;
  }

  recordHeartbeat(heartbeat: AssignerHeartbeat): void {
    if (heartbeat.term < this.#heardTerm || heartbeat.id === this.#options.self.id) {
      return;
    }
    this.#heardTerm = heartbeat.term;
    this.#lastHeardAt = performance.now();
    this.#storeSilence = heartbeat.storeSilenceMilliseconds;
    if (this.#won !== undefined && heartbeat.term > this.#won.term) {
      this.stepDown(`heard of term ${heartbeat.term.toString()}`);
    }
  }

  /** The clock that this process's right is measured with, for heartbeats. */
  clockNow(): number {
    return this.#clock.now();
  }

  /** Time until which the assigner before may still order servers, on the monotonic clock. */
  get previousLeaseEndsAt(): number {
    return this.#formerRightEndsAt;
  }

  /** A process that knows a newer term sends no more orders; what it has just sent arrives soon or never. */
  #recordFormer(former: Candidate, acknowledgement: Acknowledgement, term: number): void {
    const isSame = former.id === acknowledgement.id && former.incarnation === acknowledgement.incarnation;
    if (isSame && acknowledgement.term >= term) {
      const endsAt = performance.now() + keyOwnershipTiming.grantTimeout;
      this.#formerRightEndsAt = Math.min(this.#formerRightEndsAt, endsAt);
    }
  }

  get highestSeenTerm(): number {
    return this.#heardTerm;
  }

  /**
   * While the store is down for everybody, nobody can be elected. A process that says so at a time `t` can win
   * an election only later, and then waits for the end of this process's right, counted from its own election.
   */
  recordAcknowledgement(acknowledgement: Acknowledgement): void {
    this.#acknowledgements.set(acknowledgement.id, acknowledgement);
    const won = this.#won;
    if (won === undefined) {
      return;
    }
    if (won.former !== undefined) {
      this.#recordFormer(won.former, acknowledgement, won.term);
    }
    const sinceConfirmed = this.#clock.now() - this.#confirmedAt;
    const acknowledgements = this.#options.peerIds().map((id) => this.#acknowledgements.get(id));
    let oldest = this.#clock.now();
    for (const other of acknowledgements) {
      const isWithoutStore =
        other?.term === won.term &&
        other.storeSilenceMilliseconds > 0 &&
        other.heartbeatSentAt - other.storeSilenceMilliseconds <
          this.#confirmedAt + keyOwnershipTiming.confirmation;
      if (!isWithoutStore || sinceConfirmed < keyOwnershipTiming.confirmation) {
        return;
      }
      oldest = Math.min(oldest, other.heartbeatSentAt);
    }
    this.#rightEndsAt = Math.max(this.#rightEndsAt, oldest + keyOwnershipTiming.right);
  }

  tick(): void {
    const row = this.#readRow();
    if (this.#won !== undefined && row !== undefined && row.row.term > this.#won.term) {
      this.stepDown(`the store names term ${row.row.term.toString()}`);
    }
    if (this.#isBusy) {
      return;
    }
    if (this.#won !== undefined) {
      if (performance.now() >= this.#nextConfirmationAt) {
        void this.#confirm(this.#won);
      }
    } else if (!this.#isLeaving && this.#shouldCampaign(row?.row)) {
      void this.#campaign(row);
    }
  }

  /** Gives the term up at once. */
  stepDown(reason: string): void {
    if (this.#won === undefined) {
      return;
    }
    this.#options.logger.log('info', 'assigner-stopped', { term: this.#won.term, reason });
    this.#won = undefined;
    this.#rightEndsAt = 0;
    this.#lastHeardAt = performance.now();
    this.#onDidChange.fire(undefined);
  }

  /**
   * Gives the term up for good, and tells the others through the store, so that they need not wait. While the store
   * is down nobody can follow, so the term goes on until it answers.
   */
  async resign(): Promise<void> {
    this.#isLeaving = true;
    while (this.#won !== undefined) {
      const won = this.#won;
      const confirmedAt = this.#confirmedAt;
      if (!this.#isBusy) {
        await this.#confirm(won);
      }
      if (this.#confirmedAt > confirmedAt && this.#won === won) {
        this.stepDown('leaving');
        await this.#writeResignation(won);
        return;
      }
      await delay(RESIGNATION_MILLISECONDS);
    }
  }

  async #writeResignation(won: HeldTerm): Promise<void> {
    try {
      const { id, incarnation } = this.#options.self;
      await this.#put({ id, incarnation, term: won.term, hasResigned: true }, won.rowVersion);
    } catch (error) {
      this.#options.logger.log('warn', 'resignation-not-written', { reason: describeError(error) });
    }
  }

  #readRow(): { row: AssignerRow; version: number } | undefined {
    const stored = this.#options.assignerRow();
    if (stored === undefined || stored.version === this.#lastReadRow?.version) {
      return stored === undefined ? undefined : this.#lastReadRow;
    }
    try {
      this.#lastReadRow = {
        row: parseDocument(ASSIGNER_ROW_KEY, assignerSchema, stored.value),
        version: stored.version,
      };
      return this.#lastReadRow;
    } catch (error) {
      this.#options.logger.log('error', 'assigner-row-unreadable', { reason: describeError(error) });
      return undefined;
    }
  }

  #shouldCampaign(row: AssignerRow | undefined): boolean {
    const { isStoreReachable, rank, hasEnded } = this.#options;
    if (!isStoreReachable()) {
      return false;
    }
    const now = performance.now();
    const turn = rank() * RANK_STEP_MILLISECONDS;
    const hasNone = row === undefined || row.hasResigned || hasEnded(row);
    if (hasNone && (row === undefined || row.term >= this.#heardTerm)) {
      return now - this.#lastHeardAt > turn;
    }
    if (now - this.#lastHeardAt > SILENCE_MILLISECONDS + turn) {
      return true;
    }
    return this.#storeSilence > ASSIGNER_WITHOUT_STORE_MILLISECONDS + turn;
  }

  async #campaign(known: { row: AssignerRow; version: number } | undefined): Promise<void> {
    const { self, logger, hasEnded } = this.#options;
    const term = (known?.row.term ?? 0) + 1;
    this.#isBusy = true;
    this.#lastHeardAt = performance.now();
    this.#storeSilence = 0;
    const startedAt = this.#clock.now();
    try {
      const version = await this.#put({ ...self, term, hasResigned: false }, known?.version ?? 0);
      if (version === undefined) {
        logger.log('info', 'election-lost', { term });
        return;
      }
      const isFormerGone =
        known === undefined ||
        known.row.hasResigned ||
        hasEnded(known.row) ||
        (known.row.id === self.id && known.row.incarnation !== self.incarnation);
      const now = performance.now();
      this.#rightEndsAt = startedAt + keyOwnershipTiming.right;
      this.#confirmedAt = startedAt;
      this.#acknowledgements.clear();
      this.#nextConfirmationAt = now + keyOwnershipTiming.confirmation;
      this.#formerRightEndsAt = isFormerGone ? now : now + keyOwnershipTiming.right;
      this.#won = { term, rowVersion: version, former: isFormerGone ? undefined : known.row };
      this.#heardTerm = term;
      logger.log('info', 'assigner-elected', { term, former: known?.row.id, isFormerGone });
      this.#onDidChange.fire(this.#won);
    } catch (error) {
      logger.log('warn', 'election-failed', { term, reason: describeError(error) });
    } finally {
      this.#isBusy = false;
    }
  }

  async #confirm(won: HeldTerm): Promise<void> {
    this.#isBusy = true;
    const startedAt = this.#clock.now();
    try {
      const result = await this.#options.store.transactRows({
        expected: [{ table: CONTROL_TABLE, key: ASSIGNER_ROW_KEY, version: won.rowVersion }],
        puts: [{ table: CONFIRMATION_TABLE, key: ASSIGNER_ROW_KEY, value: won.term.toString() }],
        deletes: [],
      });
      if (result.kind === 'conflict') {
        this.stepDown('the store names another assigner');
        return;
      }
      this.#rightEndsAt = startedAt + keyOwnershipTiming.right;
      this.#confirmedAt = startedAt;
      this.#nextConfirmationAt = performance.now() + keyOwnershipTiming.confirmation;
    } catch (error) {
      this.#nextConfirmationAt = performance.now() + CONFIRMATION_RETRY_MILLISECONDS;
      this.#options.logger.log('debug', 'confirmation-failed', { reason: describeError(error) });
      if (this.#clock.now() > this.#rightEndsAt) {
        this.#options.logger.log('warn', 'assigner-right-ended', { term: won.term });
      }
    } finally {
      this.#isBusy = false;
    }
  }

  /** @returns the version of the row, or nothing when somebody else has written it. */
  async #put(row: AssignerRow, version: number): Promise<number | undefined> {
    const name = { table: CONTROL_TABLE, key: ASSIGNER_ROW_KEY };
    const transaction = {
      expected: [{ ...name, version }],
      puts: [{ ...name, value: JSON.stringify(row) }],
      deletes: [],
    };
    try {
      const result = await this.#options.store.transactRows(transaction);
      return result.kind === 'committed' ? result.version : undefined;
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError) || !error.mayHaveApplied) {
        throw error;
      }
      const { rows } = await this.#options.store.readTable(CONTROL_TABLE);
      const stored = rows.find(({ key }) => key === ASSIGNER_ROW_KEY);
      if (stored?.value === JSON.stringify(row)) {
        return stored.version;
      }
      throw error;
    }
  }
}
