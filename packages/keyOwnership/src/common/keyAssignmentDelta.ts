import { z } from 'zod';
import { decodeAssignment, encodeAssignment } from './assignmentRow.js';
import type { KeyAssignment, OwnedRange } from './keyAssignment.js';

/** Difference between two revisions of an assignment, small when few keys change hands. */
export interface KeyAssignmentDelta {
  /** Revision that the change is made to. */
  readonly base: number;
  readonly revision: number;
  /** First keys of the ranges that are gone or were replaced. */
  readonly removed: readonly number[];
  readonly added: readonly OwnedRange[];
}

/** Schema of a change as entry VMs tell each other. */
export const encodedDeltaSchema = z.object({
  base: z.int().min(0),
  removed: z.array(z.int()),
  /** The new revision with the ranges that were added, in the form of an assignment's row. */
  added: z.string(),
});

/** A change as entry VMs tell each other, with each owner once. */
export type EncodedDelta = z.output<typeof encodedDeltaSchema>;

export function encodeDelta({ base, revision, removed, added }: KeyAssignmentDelta): EncodedDelta {
  return { base, removed: [...removed], added: encodeAssignment({ revision, ranges: added }) };
}

/** @throws InvalidDocumentError */
export function decodeDelta({ base, removed, added }: EncodedDelta): KeyAssignmentDelta {
  const { revision, ranges } = decodeAssignment('change of an assignment', added);
  return { base, revision, removed, added: ranges };
}

export function diffAssignments(before: KeyAssignment, after: KeyAssignment): KeyAssignmentDelta {
  const known = new Map(before.ranges.map((range) => [range.from, range]));
  const kept = new Set(
    after.ranges.filter((range) => isSame(known.get(range.from), range)).map(({ from }) => from),
  );
  return {
    base: before.revision,
    revision: after.revision,
    removed: before.ranges.map(({ from }) => from).filter((from) => !kept.has(from)),
    added: after.ranges.filter(({ from }) => !kept.has(from)),
  };
}

/** @returns nothing when the change is made to another revision. */
export function applyDelta(
  assignment: KeyAssignment,
  { base, revision, removed, added }: KeyAssignmentDelta,
): KeyAssignment | undefined {
  if (assignment.revision !== base) {
    return undefined;
  }
  const gone = new Set(removed);
  const ranges = [...assignment.ranges.filter(({ from }) => !gone.has(from)), ...added];
  return { revision, ranges: ranges.sort((left, right) => left.from - right.from) };
}

function isSame(known: OwnedRange | undefined, range: OwnedRange): boolean {
  return (
    known?.to === range.to &&
    known.ownerId === range.ownerId &&
    known.ownerIncarnation === range.ownerIncarnation &&
    known.ownerAddress === range.ownerAddress &&
    known.fence === range.fence
  );
}
