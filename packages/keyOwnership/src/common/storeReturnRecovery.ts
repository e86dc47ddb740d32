import { eraOf } from '@hickoryhoist/store/common/storeVersion.js';
import { eraOfRevision } from './assignmentRevision.js';
import type { HeldTerm } from './assignerElection.js';
import { FormerEraKnowledge } from './formerEraKnowledge.js';
import { expiryMilliseconds, keyOwnershipTiming } from './keyOwnershipTiming.js';
import type { RecordGap } from './previousAssigner.js';
import type { SettledTerm } from './settledTerm.js';

export interface StoreReturnRecoveryOptions {
  /** Whether the whole system starts for the first time, so that no server holds keys. */
  readonly isFirstStart: boolean;
  /** Identifiers of all other processes. */
  readonly peerIds: () => readonly string[];
}

/** What this process knows about the assignment of a service. */
export interface KnownAssignment {
  /** 0 if there is none. */
  readonly revision: number;
  /** Whether an assigner has announced a newer one. */
  readonly isBehind: boolean;
}

/** Time at which the last grant of an assigner has expired after its lease has ended. */
function lastGrantExpiresAt(assignerLeaseEndsAt: number): number {
  return assignerLeaseEndsAt + expiryMilliseconds(keyOwnershipTiming.leaseMilliseconds);
}

/** Newest era of the store among versions. */
function newestEra(versions: Readonly<Record<string, number>>): number {
  return Math.max(0, ...Object.values(versions).map(eraOf));
}

/**
 * Decides when an assigner may act on the assignments that it knows after the store has come back from an older copy: once
 * the processes that followed the previous assigner have told what it announced, or else once all earlier grants have
 * expired. Load pattern: any number of entry VMs, or all of them, start again around the return.
 */
export class StoreReturnRecovery {
  readonly #options: StoreReturnRecoveryOptions;
  readonly #knowledge = new FormerEraKnowledge();
  /** Era in which the assigner asks what was announced before; undefined if it does not. */
  #askedInEra: number | undefined;

  constructor(options: StoreReturnRecoveryOptions) {
    this.#options = options;
  }

  /**
   * What the store may lack.
   * @param recordedTerm term of the last assigner by its record; undefined if there is none.
   * @param settled the last settled term that the store has.
   */
  recordGap(era: number, recordedTerm: number | undefined, settled: SettledTerm | undefined): RecordGap {
    if (recordedTerm === undefined && this.#options.isFirstStart) {
      return 'none';
    }
    // A store without eras loses nothing.
    if (era > 0 && (settled?.era ?? 0) < era) {
      return 'lost-records';
    }
    return recordedTerm === undefined || settled?.term === recordedTerm ? 'none' : 'earlier-assigners';
  }

  /**
   * Records a heartbeat of the assigner.
   * @param versions newest changes that it knows, by table.
   * @param lacksAssignments whether it asks for the assignments that were announced before the store came back.
   */
  recordHeartbeat(versions: Readonly<Record<string, number>>, lacksAssignments: boolean, now: number): void {
    const era = newestEra(versions);
    this.#askedInEra = lacksAssignments ? era : undefined;
    if (!lacksAssignments) {
      this.#knowledge.recordAssigner(era, now);
    }
  }

  /** Whether the assigner asks what was announced before the store came back, and this process can tell. */
  isWitness(now: number): boolean {
    return this.#askedInEra !== undefined && this.#knowledge.hasFollowedBefore(this.#askedInEra, now);
  }

  /** Must be called when this process becomes the assigner. */
  startTerm({ term, rowVersion }: HeldTerm, now: number): void {
    this.#knowledge.startTerm(term, eraOf(rowVersion), now);
  }

  /**
   * Records the report of another process to the assigner.
   * @param term highest term of which the process has received a heartbeat.
   */
  recordReport(id: string, term: number, isWitness: boolean): void {
    this.#knowledge.recordAnswer(id, term, isWitness);
  }

  /**
   * Whether servers may hold keys of services by assignments that the store has lost and this process does not know.
   * @param isBehind whether a newer assignment of some service has been announced than this process knows.
   * @param previousLeaseEndsAt time at which earlier assigners have stopped, on the monotonic clock.
   */
  lacksAssignments(
    { recordGap }: HeldTerm,
    isBehind: boolean,
    previousLeaseEndsAt: number,
    now: number,
  ): boolean {
    return (
      recordGap === 'lost-records' &&
      now < lastGrantExpiresAt(previousLeaseEndsAt) &&
      (isBehind || !this.#knowledge.isComplete(this.#options.peerIds(), now))
    );
  }

  /** Whether servers may hold keys of a service by an assignment that this process does not know. */
  mayBeUnknownGrants(
    heldTerm: HeldTerm,
    { revision, isBehind }: KnownAssignment,
    previousLeaseEndsAt: number,
    now: number,
  ): boolean {
    if (isBehind) {
      return now < lastGrantExpiresAt(previousLeaseEndsAt);
    }
    const isOfFormerEra = eraOfRevision(revision) < eraOf(heldTerm.rowVersion);
    return isOfFormerEra && this.lacksAssignments(heldTerm, isBehind, previousLeaseEndsAt, now);
  }

  /** Must be called regularly while this process is the assigner and its lease is valid. */
  recordOwnTerm({ rowVersion }: HeldTerm, lacksAssignments: boolean, now: number): void {
    if (!lacksAssignments) {
      this.#knowledge.recordAssigner(eraOf(rowVersion), now);
    }
  }

  /** Whether the assigner has outlasted all earlier ones, and their grants as well if it does not know all of these. */
  isTermSettled({ recordGap }: HeldTerm, previousLeaseEndsAt: number, now: number): boolean {
    return (
      now >= (recordGap === 'lost-records' ? lastGrantExpiresAt(previousLeaseEndsAt) : previousLeaseEndsAt)
    );
  }
}
