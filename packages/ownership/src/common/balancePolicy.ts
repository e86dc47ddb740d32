import type { Unit } from '@hickoryhoist/protocol/common/assignment.js';
import type { AssignmentDraft } from './assignmentDraft.js';
import type { GroupLoad } from './observations.js';

/** A unit and the number of its new owner. */
export interface Placement {
  readonly unit: Unit;
  readonly owner: number;
}

/** Decides which servers own the units, and which keys are pinned. */
export interface BalancePolicy {
  /** Selects owners for units without an owner. */
  placeUnits(draft: AssignmentDraft, units: readonly Unit[], load: GroupLoad): readonly Placement[];

  /** Returns the hashes of hot keys that should be owned separately from their slices. */
  selectKeysToPin(draft: AssignmentDraft, load: GroupLoad): readonly string[];

  /** Returns the hashes of pinned keys that no longer need a pin. */
  selectKeysToUnpin(draft: AssignmentDraft, load: GroupLoad): readonly string[];

  /** Selects ownership transfers to start now, in addition to those in the draft. */
  planMoves(draft: AssignmentDraft, load: GroupLoad): readonly Placement[];
}
