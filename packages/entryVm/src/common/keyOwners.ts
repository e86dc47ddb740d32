import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { readAssignments, type StoredAssignment } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import { type OwnedRange, findRange } from '@hickoryhoist/keyownership/common/keyAssignment.js';
import {
  applyDelta,
  decodeDelta,
  type EncodedDelta,
} from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';

/** Time for which an assignment may be behind the assigner's before it is read from the store, in milliseconds. */
const CHANGE_ARRIVAL_MILLISECONDS = 150;
/** Time in which a new owner is granted its keys, in milliseconds: a few orders, one after the other. */
const GRANT_MILLISECONDS = 200;

/** Who owns which keys, as far as this entry VM has been told. */
export class KeyOwners {
  readonly #reload: () => void;
  readonly #logger: Logger;
  readonly #onDidChange = new Emitter<void>();
  /** When each of the last revisions became known here, by service; the oldest one first. */
  readonly #recent = new Map<string, { readonly revision: number; readonly at: number }[]>();
  /** Newest revision of each service's assignment that an assigner has told of. */
  readonly #expectedRevisions = new Map<string, number>();
  #assignments: ReadonlyMap<string, StoredAssignment> = new Map();
  #behindSince: number | undefined;

  /** Fires when keys may have changed hands. */
  readonly onDidChange = this.#onDidChange.event;

  /** @param reload has the table of assignments read once more. */
  constructor(reload: () => void, logger: Logger) {
    this.#reload = reload;
    this.#logger = logger;
  }

  ownerOf(service: string, key: number): string | undefined {
    return this.#rangeOf(service, key)?.ownerId;
  }

  /** Whether the owner of a key is so new that it may not have been granted the key yet. */
  hasUnconfirmedOwner(service: string, key: number): boolean {
    const fence = this.#rangeOf(service, key)?.fence;
    const oldest = performance.now() - GRANT_MILLISECONDS;
    const first = this.#recent.get(service)?.find(({ at }) => at >= oldest);
    return fence !== undefined && first !== undefined && fence >= first.revision;
  }

  assignmentOf(service: string): StoredAssignment | undefined {
    return this.#assignments.get(service);
  }

  /** Revision of each service's assignment that this process goes by. */
  revisions(): Record<string, number> {
    return Object.fromEntries(
      [...this.#assignments].map(([service, { assignment }]) => [service, assignment.revision]),
    );
  }

  /** Takes over the assignments among the rows of the control table. */
  takeRows(rows: ReadonlyMap<string, StoredRow>): void {
    this.#take(readAssignments(rows, this.#assignments, this.#logger));
  }

  /** Takes over a change that the assigner has told of. */
  takeChange(service: string, change: EncodedDelta, rowVersion: number): void {
    const known = this.#assignments.get(service);
    if (known === undefined) {
      return;
    }
    try {
      const assignment = applyDelta(known.assignment, decodeDelta(change));
      if (assignment !== undefined) {
        this.#take(new Map(this.#assignments).set(service, { assignment, rowVersion }));
      }
    } catch (error) {
      this.#logger.log('error', 'assignment-change-unreadable', { service, reason: describeError(error) });
    }
  }

  /** Takes notice of the assigner's revisions. Changes come by datagram; a lost one makes the table be read. */
  expectRevisions(revisions: Readonly<Record<string, number>>): void {
    for (const [service, revision] of Object.entries(revisions)) {
      const known = this.#expectedRevisions.get(service) ?? 0;
      this.#expectedRevisions.set(service, Math.max(known, revision));
    }
    const isBehind = [...this.#expectedRevisions].some(
      ([service, revision]) => revision > (this.assignmentOf(service)?.assignment.revision ?? 0),
    );
    const now = performance.now();
    if (!isBehind) {
      this.#behindSince = undefined;
      return;
    }
    this.#behindSince ??= now;
    if (now - this.#behindSince > CHANGE_ARRIVAL_MILLISECONDS) {
      this.#behindSince = undefined;
      this.#logger.log('info', 'assignment-behind');
      this.#reload();
    }
  }

  #rangeOf(service: string, key: number): OwnedRange | undefined {
    const stored = this.#assignments.get(service);
    return stored === undefined ? undefined : findRange(stored.assignment.ranges, key);
  }

  #take(assignments: ReadonlyMap<string, StoredAssignment>): void {
    const at = performance.now();
    for (const [service, { assignment }] of assignments) {
      const { revision } = assignment;
      const recent = this.#recent.get(service) ?? [];
      if (recent.at(-1)?.revision !== revision) {
        const kept = recent.filter((entry) => at - entry.at < GRANT_MILLISECONDS);
        this.#recent.set(service, [...kept, { revision, at }]);
      }
    }
    this.#assignments = assignments;
    this.#onDidChange.fire();
  }
}
