import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { LeaseClock } from '@hickoryhoist/base/common/leaseClock.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { eraOf } from '@hickoryhoist/store/common/storeVersion.js';
import {
  type AssignerRow,
  CONFIRMATION_TABLE,
  decodeAssignerRow,
  readSettledTerm,
  writeAssignerRow,
} from './assignerRow.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from './assignmentStore.js';
import type { Candidate, HeartbeatAcknowledgement, RecordOfCandidate } from './candidate.js';
import { keyOwnershipTiming } from './keyOwnershipTiming.js';
import { encodeConfirmation, type SettledTerm } from './settledTerm.js';
import { lastCommandsArriveAt, type PreviousAssigner, type RecordGap } from './previousAssigner.js';

/** Time without a heartbeat after which the assigner is replaced, in milliseconds: several missed heartbeats. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 700;
/** Delay between the campaigns of candidates of consecutive ranks, in milliseconds. */
const RANK_DELAY_MILLISECONDS = 120;
/** Time without a response from the store after which a running assigner is replaced, in milliseconds. */
const STORE_OUTAGE_TIMEOUT_MILLISECONDS = 2_000;
const CONFIRMATION_RETRY_MILLISECONDS = 400;
/** Delay between attempts to resign, in milliseconds. */
const RESIGNATION_RETRY_MILLISECONDS = 100;

interface ReadAssignerRow extends RecordOfCandidate {
  readonly row: AssignerRow;
}

/** Heartbeat of an assigner. */
export interface AssignerHeartbeat {
  readonly term: number;
  readonly id: string;
  /** Time since the last response from the store to the assigner, in milliseconds; 0 while calls succeed. */
  readonly storeSilenceMilliseconds: number;
}

/** A term in which this process is the assigner. */
export interface HeldTerm {
  readonly term: number;
  /** Version of the row that records this process as the assigner. */
  readonly rowVersion: number;
  readonly previousAssigner: PreviousAssigner;
  /** What the store lacked when the term began. */
  readonly recordGap: RecordGap;
}

export interface ElectionOptions {
  readonly self: Candidate;
  readonly store: RowStore;
  readonly logger: Logger;
  /** The latest known version of the assigner's row. */
  readonly assignerRow: () => StoredRow | undefined;
  /** Rank of this process among the candidates; 0 campaigns first. */
  readonly rank: () => number;
  readonly isStoreReachable: () => boolean;
  /** Whether the other candidates are known, so that the rank is valid. */
  readonly isRankKnown: () => boolean;
  /** Identifiers of all other processes that can be elected. */
  readonly peerIds: () => readonly string[];
  /** Whether the process that a record names is known to have ended. */
  readonly hasEnded: (candidate: Candidate, record: RecordOfCandidate) => boolean;
  /**
   * What the store may lack about earlier assigners.
   * @param recordedTerm term of the last one by its record; undefined if there is none.
   * @param settled the last settled term that the store has.
   */
  readonly recordGap: (
    era: number,
    recordedTerm: number | undefined,
    settled: SettledTerm | undefined,
  ) => RecordGap;
  /** Whether this process has outlasted all earlier assigners in a term. */
  readonly isTermSettled: (heldTerm: HeldTerm) => boolean;
}

/**
 * Elects the assigner by a compare-and-set on its row, and maintains the assigner lease. The lease lets an assigner
 * continue through an outage of the store; a newly elected assigner waits for the lease of the previous one to end.
 */
export class AssignerElection {
  readonly #options: ElectionOptions;
  readonly #clock = new LeaseClock();
  readonly #onDidChange = new Emitter<HeldTerm | undefined>();
  #heldTerm: HeldTerm | undefined;
  #leaseEndsAt = 0;
  /** Reset by each heartbeat, at the start of a campaign and on stepping down. */
  #electionTimerStartedAt = performance.now();
  #highestSeenTerm = 0;
  /** Highest term that the store has recorded. It may have lost the record since. */
  #highestRecordedTerm = 0;
  /** Term that this process held last, and the era of the store in which it was elected. */
  #lastHeldTerm = 0;
  #lastHeldEra = 0;
  #assignerStoreSilence = 0;
  #isStoreCallPending = false;
  #nextConfirmationAt = 0;
  #isResigning = false;
  /** Version of the assigner's row on which a campaign was lost, and when. */
  #lostCampaign: { readonly rowVersion: number; readonly at: number } | undefined;
  #lastReadRow: ReadAssignerRow | undefined;
  #confirmedAt = 0;
  #previousLeaseEndsAt = 0;
  readonly #acknowledgements = new Map<string, HeartbeatAcknowledgement>();

  /** Fires with the term when this process becomes the assigner, and with undefined when it steps down. */
  readonly onDidChange = this.#onDidChange.event;

  constructor(options: ElectionOptions) {
    this.#options = options;
  }

  get heldTerm(): HeldTerm | undefined {
    return this.#heldTerm;
  }

  /** Whether this process may act as the assigner now. */
  hasValidLease(): boolean {
    return this.#heldTerm !== undefined && this.#clock.now() < this.#leaseEndsAt;
  }

  recordHeartbeat(heartbeat: AssignerHeartbeat): void {
    if (heartbeat.term < this.#highestSeenTerm || heartbeat.id === this.#options.self.id) {
      return;
    }
    this.#highestSeenTerm = heartbeat.term;
    this.#electionTimerStartedAt = performance.now();
    this.#assignerStoreSilence = heartbeat.storeSilenceMilliseconds;
    if (this.#heldTerm !== undefined && heartbeat.term > this.#heldTerm.term) {
      this.stepDown(`received a heartbeat of term ${heartbeat.term.toString()}`);
    }
  }

  /** Time on the clock that measures the assigner lease, for heartbeats. */
  clockNow(): number {
    return this.#clock.now();
  }

  /** Time at which the lease of the previous assigner ends, on the monotonic clock. */
  get previousLeaseEndsAt(): number {
    return this.#previousLeaseEndsAt;
  }

  #shortenPreviousLease({ previousAssigner, term }: HeldTerm): void {
    const peerIds = this.#options.peerIds();
    const now = performance.now();
    this.#previousLeaseEndsAt = Math.min(
      this.#previousLeaseEndsAt,
      lastCommandsArriveAt(previousAssigner, term, this.#acknowledgements, peerIds, now),
    );
  }

  get highestSeenTerm(): number {
    return this.#highestSeenTerm;
  }

  /**
   * Records an acknowledgement, and extends the assigner lease when all peers report that the store is down. A peer
   * that reports an outage at time `t` can be elected only after `t`, and then waits for a full assigner lease before
   * it acts. The lease can therefore be counted from the oldest report.
   */
  recordAcknowledgement(acknowledgement: HeartbeatAcknowledgement): void {
    this.#acknowledgements.set(acknowledgement.id, acknowledgement);
    const heldTerm = this.#heldTerm;
    if (heldTerm === undefined) {
      return;
    }
    this.#shortenPreviousLease(heldTerm);
    const sinceConfirmed = this.#clock.now() - this.#confirmedAt;
    const acknowledgements = this.#options.peerIds().map((id) => this.#acknowledgements.get(id));
    let oldestHeartbeatSentAt = this.#clock.now();
    for (const other of acknowledgements) {
      const reportsStoreOutage =
        other?.term === heldTerm.term &&
        other.storeSilenceMilliseconds > 0 &&
        other.heartbeatSentAt - other.storeSilenceMilliseconds <
          this.#confirmedAt + keyOwnershipTiming.confirmationIntervalMilliseconds;
      if (!reportsStoreOutage || sinceConfirmed < keyOwnershipTiming.confirmationIntervalMilliseconds) {
        return;
      }
      oldestHeartbeatSentAt = Math.min(oldestHeartbeatSentAt, other.heartbeatSentAt);
    }
    this.#leaseEndsAt = Math.max(
      this.#leaseEndsAt,
      oldestHeartbeatSentAt + keyOwnershipTiming.assignerLeaseMilliseconds,
    );
  }

  tick(): void {
    const row = this.#readRow();
    if (this.#heldTerm !== undefined && row !== undefined) {
      if (row.row.term > this.#heldTerm.term) {
        this.stepDown(`the store records term ${row.row.term.toString()}`);
      } else if (eraOf(row.version) > eraOf(this.#heldTerm.rowVersion)) {
        this.stepDown('the store has come back from an older copy');
      }
    }
    this.#delayElectionTimer();
    if (this.#isStoreCallPending) {
      return;
    }
    if (this.#heldTerm !== undefined) {
      if (performance.now() >= this.#nextConfirmationAt) {
        void this.#confirm(this.#heldTerm);
      }
    } else if (!this.#isResigning && !this.#wouldLoseAgain(row) && this.#shouldCampaign(row)) {
      void this.#campaign(row);
    }
  }

  /** Gives up the term immediately. */
  stepDown(reason: string): void {
    if (this.#heldTerm === undefined) {
      return;
    }
    this.#options.logger.log('info', 'assigner-stopped', { term: this.#heldTerm.term, reason });
    this.#heldTerm = undefined;
    this.#leaseEndsAt = 0;
    this.#electionTimerStartedAt = performance.now();
    this.#onDidChange.fire(undefined);
  }

  /**
   * Gives up the term permanently and records that in the store, so that other candidates need not wait for a timeout.
   * While the store is down no other process can be elected, so this process stays the assigner until the store
   * responds.
   */
  async resign(): Promise<void> {
    this.#isResigning = true;
    while (this.#heldTerm !== undefined) {
      const heldTerm = this.#heldTerm;
      const confirmedAt = this.#confirmedAt;
      if (!this.#isStoreCallPending) {
        await this.#confirm(heldTerm);
      }
      if (this.#confirmedAt > confirmedAt && this.#heldTerm === heldTerm) {
        this.stepDown('leaving');
        await this.#writeResignation(heldTerm);
        return;
      }
      await delay(RESIGNATION_RETRY_MILLISECONDS);
    }
  }

  async #writeResignation(heldTerm: HeldTerm): Promise<void> {
    try {
      const { id, incarnation } = this.#options.self;
      const row = { id, incarnation, term: heldTerm.term, hasResigned: true };
      await writeAssignerRow(this.#options.store, row, heldTerm.rowVersion);
    } catch (error) {
      this.#options.logger.log('warn', 'resignation-not-written', { reason: describeError(error) });
    }
  }

  /**
   * Keeps candidates from campaigning at the same time after all of them started or the store was down: they start
   * to count the delays of their ranks once they know them and reach the store.
   */
  #delayElectionTimer(): void {
    const now = performance.now();
    if (!this.#options.isRankKnown()) {
      this.#electionTimerStartedAt = now;
    } else if (!this.#options.isStoreReachable()) {
      this.#electionTimerStartedAt = Math.max(
        this.#electionTimerStartedAt,
        now - HEARTBEAT_TIMEOUT_MILLISECONDS,
      );
    }
  }

  #readRow(): ReadAssignerRow | undefined {
    const stored = this.#options.assignerRow();
    if (stored === undefined || stored.version === this.#lastReadRow?.version) {
      return stored === undefined ? undefined : this.#lastReadRow;
    }
    try {
      this.#lastReadRow = {
        row: decodeAssignerRow(stored.value),
        version: stored.version,
        knownSince: performance.now(),
      };
      this.#highestRecordedTerm = Math.max(this.#highestRecordedTerm, this.#lastReadRow.row.term);
      return this.#lastReadRow;
    } catch (error) {
      this.#options.logger.log('error', 'assigner-row-unreadable', { reason: describeError(error) });
      return undefined;
    }
  }

  /**
   * Whether a campaign has just been lost on the row that is known here. Its version does not come back; the newer row,
   * or a heartbeat, is on its way. Load pattern: all entry VMs start at the same time and know no rank yet.
   */
  #wouldLoseAgain(known: { readonly version: number } | undefined): boolean {
    const lost = this.#lostCampaign;
    return (
      lost?.rowVersion === (known?.version ?? 0) &&
      performance.now() - lost.at < HEARTBEAT_TIMEOUT_MILLISECONDS
    );
  }

  #shouldCampaign(known: ReadAssignerRow | undefined): boolean {
    const { isStoreReachable, isRankKnown, rank, hasEnded } = this.#options;
    if (!isStoreReachable() || !isRankKnown()) {
      return false;
    }
    if (known !== undefined && this.#wasLastAssigner(known)) {
      return true;
    }
    const now = performance.now();
    const rankDelay = rank() * RANK_DELAY_MILLISECONDS;
    const hasNoAssigner = known === undefined || known.row.hasResigned || hasEnded(known.row, known);
    if (hasNoAssigner && (known === undefined || known.row.term >= this.#highestSeenTerm)) {
      return now - this.#electionTimerStartedAt > rankDelay;
    }
    if (now - this.#electionTimerStartedAt > HEARTBEAT_TIMEOUT_MILLISECONDS + rankDelay) {
      return true;
    }
    return this.#assignerStoreSilence > STORE_OUTAGE_TIMEOUT_MILLISECONDS + rankDelay;
  }

  /**
   * Whether this process was the assigner until the store came back from an older copy, by all that it has heard. It
   * campaigns at once then. Load pattern: all processes find a record in the store that may be an old one. A process that
   * has lost its term otherwise would lose it again at once, with a write to the store each time.
   */
  #wasLastAssigner(known: ReadAssignerRow): boolean {
    const { self } = this.#options;
    const { id, incarnation, term, hasResigned } = known.row;
    const isOwnRecord = id === self.id && incarnation === self.incarnation && !hasResigned;
    return (
      this.#lastHeldTerm > 0 &&
      this.#lastHeldTerm === this.#highestKnownTerm &&
      eraOf(known.version) > this.#lastHeldEra &&
      (this.#isRecordLost(known) || (isOwnRecord && term === this.#lastHeldTerm))
    );
  }

  /** Whether the store has lost the newest record of the assigner, so that it does not name the previous one. */
  #isRecordLost({ row }: ReadAssignerRow): boolean {
    return row.term < this.#highestKnownTerm;
  }

  get #highestKnownTerm(): number {
    return Math.max(this.#highestSeenTerm, this.#highestRecordedTerm);
  }

  #findPrevious(known: ReadAssignerRow | undefined, recordGap: RecordGap): PreviousAssigner {
    const { self, hasEnded } = this.#options;
    if (recordGap === 'lost-records') {
      // Even the process that was the assigner may have been replaced without hearing of it.
      return { kind: 'unknown' };
    }
    if (this.#lastHeldTerm > 0 && this.#lastHeldTerm === this.#highestKnownTerm) {
      return { kind: 'self' };
    }
    if (known === undefined) {
      return { kind: this.#highestKnownTerm > 0 ? 'unknown' : 'gone' };
    }
    if (recordGap === 'earlier-assigners' || this.#isRecordLost(known)) {
      return { kind: 'unknown' };
    }
    const { row } = known;
    const isFormerProcess = row.id === self.id && row.incarnation !== self.incarnation;
    return row.hasResigned || isFormerProcess || hasEnded(row, known)
      ? { kind: 'gone' }
      : { kind: 'known', candidate: row };
  }

  async #campaign(known: ReadAssignerRow | undefined): Promise<void> {
    const { self, store, logger } = this.#options;
    // A record that the store has lost may name a higher term than the present one.
    const term = Math.max(known?.row.term ?? 0, this.#highestKnownTerm) + 1;
    this.#isStoreCallPending = true;
    this.#electionTimerStartedAt = performance.now();
    this.#assignerStoreSilence = 0;
    const startedAt = this.#clock.now();
    try {
      const version = await writeAssignerRow(
        store,
        { ...self, term, hasResigned: false },
        known?.version ?? 0,
      );
      if (version === undefined) {
        this.#lostCampaign = { rowVersion: known?.version ?? 0, at: performance.now() };
        logger.log('info', 'election-lost', { term });
        return;
      }
      const recordGap = this.#options.recordGap(
        eraOf(version),
        known?.row.term,
        await readSettledTerm(store, logger),
      );
      const previousAssigner = this.#findPrevious(known, recordGap);
      const now = performance.now();
      this.#leaseEndsAt = startedAt + keyOwnershipTiming.assignerLeaseMilliseconds;
      this.#confirmedAt = startedAt;
      this.#acknowledgements.clear();
      this.#nextConfirmationAt = now + keyOwnershipTiming.confirmationIntervalMilliseconds;
      this.#previousLeaseEndsAt =
        previousAssigner.kind === 'self'
          ? Math.max(now, this.#previousLeaseEndsAt)
          : now + keyOwnershipTiming.assignerLeaseMilliseconds;
      this.#heldTerm = { term, rowVersion: version, previousAssigner, recordGap };
      this.#shortenPreviousLease(this.#heldTerm);
      this.#highestSeenTerm = term;
      this.#lastHeldTerm = term;
      this.#lastHeldEra = eraOf(version);
      logger.log('info', 'assigner-elected', {
        term,
        recorded: known?.row.id,
        former: previousAssigner.kind,
        recordGap,
      });
      this.#onDidChange.fire(this.#heldTerm);
    } catch (error) {
      logger.log('warn', 'election-failed', { term, reason: describeError(error) });
    } finally {
      this.#isStoreCallPending = false;
    }
  }

  async #confirm(heldTerm: HeldTerm): Promise<void> {
    this.#isStoreCallPending = true;
    const startedAt = this.#clock.now();
    try {
      const result = await this.#options.store.transactRows({
        expected: [{ table: CONTROL_TABLE, key: ASSIGNER_ROW_KEY, version: heldTerm.rowVersion }],
        puts: [{ table: CONFIRMATION_TABLE, key: ASSIGNER_ROW_KEY, value: this.#confirmationOf(heldTerm) }],
        deletes: [],
      });
      if (result.kind === 'conflict') {
        this.stepDown('the store records another assigner');
        return;
      }
      this.#leaseEndsAt = startedAt + keyOwnershipTiming.assignerLeaseMilliseconds;
      this.#confirmedAt = startedAt;
      this.#nextConfirmationAt = performance.now() + keyOwnershipTiming.confirmationIntervalMilliseconds;
    } catch (error) {
      this.#nextConfirmationAt = performance.now() + CONFIRMATION_RETRY_MILLISECONDS;
      this.#options.logger.log('debug', 'confirmation-failed', { reason: describeError(error) });
      if (this.#clock.now() > this.#leaseEndsAt) {
        this.#options.logger.log('warn', 'assigner-lease-expired', { term: heldTerm.term });
      }
    } finally {
      this.#isStoreCallPending = false;
    }
  }

  #confirmationOf(heldTerm: HeldTerm): string {
    const { term, rowVersion } = heldTerm;
    return encodeConfirmation({ term, era: eraOf(rowVersion) }, this.#options.isTermSettled(heldTerm));
  }
}
