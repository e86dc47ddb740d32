import type { Unit } from '@hickoryhoist/protocol/common/assignment.js';
import type { AssignmentDraft } from './assignmentDraft.js';
import type { GroupLoad } from './observations.js';

/** A unit and the number of the server that is to own it. */
export interface Placement {
  readonly unit: Unit;
  readonly owner: number;
}

/** Decides where units go. */
export interface BalancePolicy {
  /** Owners for units that nobody owns. */
  place(draft: AssignmentDraft, units: readonly Unit[], load: GroupLoad): readonly Placement[];

  /** Hashes of hot keys that are to be owned apart from their slices from now on. */
  pins(draft: AssignmentDraft, load: GroupLoad): readonly string[];

  /** Hashes of pinned keys that are to return to their slices, which have the same owner. */
  unpins(draft: AssignmentDraft, load: GroupLoad): readonly string[];

  /** Hand-overs worth starting now, given what the draft already does. */
  move(draft: AssignmentDraft, load: GroupLoad): readonly Placement[];
}
