/**
 * A term whose assigner has outlasted all earlier ones: they send no further commands, and their grants have expired or are
 * by assignments that the store has. A process that starts later finds nothing else that tells.
 */
export interface SettledTerm {
  readonly term: number;
  /** Era of the store in which the term was settled; in a later one it may have lost records. */
  readonly era: number;
}

/** The value of the row with which an assigner confirms its lease. */
export function encodeConfirmation({ term, era }: SettledTerm, isSettled: boolean): string {
  return isSettled ? `${term.toString()} ${era.toString()}` : term.toString();
}

/** The settled term that a confirmation states; undefined if it states none. */
export function decodeSettledTerm(confirmation: string): SettledTerm | undefined {
  const match = /^(\d+) (\d+)$/.exec(confirmation);
  return match === null ? undefined : { term: Number(match[1]), era: Number(match[2]) };
}
