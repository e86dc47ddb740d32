import * as z from 'zod';
import { decodeAssignment, encodeAssignment } from './assignmentRow.js';
import type { KeyAssignment, OwnedRange } from './keyAssignment.js';

/** Difference between two revisions of an assignment. */
export interface KeyAssignmentDelta {
  /** Revision that the delta applies to. */
  readonly base: number;
  readonly revision: number;
  /** First keys of the ranges that were removed or replaced. */
  readonly removed: readonly number[];
  readonly added: readonly OwnedRange[];
}

/** Schema of a delta in messages between entry VMs. */
export const encodedDeltaSchema = z.object({
  base: z.int().min(0),
  removed: z.array(z.int()),
  /** The new revision and the added ranges, encoded like the row of an assignment. */
  added: z.string(),
});

/** A delta as sent between entry VMs; each owner is encoded once. */
export type EncodedDelta = z.output<typeof encodedDeltaSchema>;

export function encodeDelta({ base, revision, removed, added }: KeyAssignmentDelta): EncodedDelta {
  return { base, removed: [...removed], added: encodeAssignment({ revision, ranges: added }) };
}

/** @throws InvalidDocumentError */
export function decodeDelta({ base, removed, added }: EncodedDelta): KeyAssignmentDelta {
  const { revision, ranges } = decodeAssignment('assignment delta', added);
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

/** @returns undefined when the delta applies to another revision. */
export function applyDelta(
  assignment: KeyAssignment,
  { base, revision, removed, added }: KeyAssignmentDelta,
): KeyAssignment | undefined {
  if (assignment.revision !== base) {
    return undefined;
  }
  const removedKeys = new Set(removed);
  const ranges = [...assignment.ranges.filter(({ from }) => !removedKeys.has(from)), ...added];
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
