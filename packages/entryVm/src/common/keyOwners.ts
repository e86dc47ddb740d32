import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import {
  readAssignments,
  type StoredAssignment,
  toAssignmentRow,
} from '@hickoryhoist/keyownership/common/assignmentStore.js';
import {
  emptyAssignment,
  type OwnedRange,
  findRange,
} from '@hickoryhoist/keyownership/common/keyAssignment.js';
import {
  applyDelta,
  decodeDelta,
  type EncodedDelta,
} from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';

/** An assignment that stays behind the assigner's for longer is read from the store. */
const DELTA_ARRIVAL_MILLISECONDS = 150;
/** Time within which a new owner receives its grant: a few commands, one after the other. */
const FIRST_GRANT_MILLISECONDS = 200;

/** The owners of keys as known to this entry VM, from the store and from the deltas of the assigner. */
export class KeyOwners {
  readonly #readAssignments: (attempt: number) => void;
  readonly #logger: Logger;
  readonly #onDidChange = new Emitter<void>();
  /** Recent revisions of each service's assignment with the time of their arrival, oldest first. */
  readonly #recentRevisions = new Map<string, { readonly revision: number; readonly at: number }[]>();
  /** Newest revision of each service's assignment that an assigner has announced. */
  readonly #expectedRevisions = new Map<string, number>();
  #assignments: ReadonlyMap<string, StoredAssignment> = new Map();
  #behindSince: number | undefined;
  /** Attempts to read the assignments since they fell behind. */
  #readAttempts = 0;

  /** Fires when the owners of keys may have changed. */
  readonly onDidChange = this.#onDidChange.event;

  /** @param readAssignments reads the assignments again; called with the number of attempts before. */
  constructor(readAssignments: (attempt: number) => void, logger: Logger) {
    this.#readAssignments = readAssignments;
    this.#logger = logger;
  }

  ownerOf(service: string, key: number): string | undefined {
    return this.#findRange(service, key)?.ownerId;
  }

  /** Whether the owner of a key was assigned so recently that its grant may not have arrived yet. */
  hasUnconfirmedOwner(service: string, key: number): boolean {
    const fence = this.#findRange(service, key)?.fence;
    const oldest = performance.now() - FIRST_GRANT_MILLISECONDS;
    const first = this.#recentRevisions.get(service)?.find(({ at }) => at >= oldest);
    return fence !== undefined && first !== undefined && fence >= first.revision;
  }

  /** Servers that own keys of any service. */
  ownerIds(): ReadonlySet<string> {
    return new Set(
      [...this.#assignments.values()].flatMap(({ assignment }) =>
        assignment.ranges.map(({ ownerId }) => ownerId),
      ),
    );
  }

  assignmentOf(service: string): StoredAssignment | undefined {
    return this.#assignments.get(service);
  }

  /** Newest revision of a service's assignment that an assigner has announced; 0 if none has. */
  announcedRevision(service: string): number {
    return this.#expectedRevisions.get(service) ?? 0;
  }

  /** Newest revision of each service's assignment that this process knows or that an assigner has announced to it. */
  newestRevisions(): Record<string, number> {
    const newest = this.revisions();
    for (const [service, revision] of this.#expectedRevisions) {
      newest[service] = Math.max(newest[service] ?? 0, revision);
    }
    return newest;
  }

  /** Whether an assigner has announced a newer assignment of a service than this process knows. */
  isBehind(service: string): boolean {
    return this.announcedRevision(service) > (this.assignmentOf(service)?.assignment.revision ?? 0);
  }

  /** Whether an assigner has announced a newer assignment of some service than this process knows. */
  get isAnyBehind(): boolean {
    return [...this.#expectedRevisions.keys()].some((service) => this.isBehind(service));
  }

  /** The current assignments as rows of the control table. */
  assignmentRows(): readonly StoredRow[] {
    return [...this.#assignments].map(([service, { assignment, rowVersion }]) =>
      toAssignmentRow(service, assignment, rowVersion),
    );
  }

  /** Revision of the current assignment of each service. */
  revisions(): Record<string, number> {
    return Object.fromEntries(
      [...this.#assignments].map(([service, { assignment }]) => [service, assignment.revision]),
    );
  }

  /** Updates the assignments from the rows of the control table. */
  applyRows(rows: ReadonlyMap<string, StoredRow>): void {
    this.#setAssignments(readAssignments(rows, this.#assignments, this.#logger));
  }

  /** Applies a delta received from the assigner. */
  applyDelta(service: string, delta: EncodedDelta, rowVersion: number): void {
    const known = this.#assignments.get(service)?.assignment ?? emptyAssignment;
    try {
      const assignment = applyDelta(known, decodeDelta(delta));
      if (assignment !== undefined) {
        this.#setAssignments(new Map(this.#assignments).set(service, { assignment, rowVersion }));
      }
    } catch (error) {
      this.#logger.log('error', 'assignment-change-unreadable', { service, reason: describeError(error) });
    }
  }

  /**
   * Compares the assignments with the assigner's revisions. If they stay behind, a datagram with a delta was lost,
   * and the assignments are read again.
   */
  expectRevisions(revisions: Readonly<Record<string, number>>): void {
    for (const [service, revision] of Object.entries(revisions)) {
      const known = this.#expectedRevisions.get(service) ?? 0;
      this.#expectedRevisions.set(service, Math.max(known, revision));
    }
    const now = performance.now();
    if (!this.isAnyBehind) {
      this.#behindSince = undefined;
      this.#readAttempts = 0;
      return;
    }
    this.#behindSince ??= now;
    if (now - this.#behindSince > DELTA_ARRIVAL_MILLISECONDS) {
      this.#behindSince = undefined;
      this.#logger.log('info', 'assignment-behind');
      this.#readAssignments(this.#readAttempts);
      this.#readAttempts += 1;
    }
  }

  #findRange(service: string, key: number): OwnedRange | undefined {
    const stored = this.#assignments.get(service);
    return stored === undefined ? undefined : findRange(stored.assignment.ranges, key);
  }

  #setAssignments(assignments: ReadonlyMap<string, StoredAssignment>): void {
    const at = performance.now();
    for (const [service, { assignment }] of assignments) {
      const { revision } = assignment;
      const recent = this.#recentRevisions.get(service) ?? [];
      if (recent.at(-1)?.revision !== revision) {
        const kept = recent.filter((entry) => at - entry.at < FIRST_GRANT_MILLISECONDS);
        this.#recentRevisions.set(service, [...kept, { revision, at }]);
      }
    }
    this.#assignments = assignments;
    this.#onDidChange.fire();
  }
}
