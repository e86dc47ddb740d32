/**
 * Revisions of one era of the store, more than are written in it: an assigner writes some in a second. Each era begins
 * above the former one, since the store may have lost revisions, and their fences, that nobody here knows.
 */
const REVISIONS_PER_ERA = 10_000_000;

/** The lowest revision of an assignment that is written in an era of the store. */
export function firstRevisionOfEra(era: number): number {
  return era * REVISIONS_PER_ERA;
}

/** The era of the store in which a revision of an assignment was written. */
export function eraOfRevision(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}
