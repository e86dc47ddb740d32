import type { ListedChanges } from './tableCopy.js';

/** Source of the first copy of a table. */
export type FirstCopySource =
  /** The neighbours are not known yet. */
  'undecided' | 'store' | 'neighbours';

/** Copies of tables in other processes. */
export interface NeighbourTables {
  /**
   * Reads the changes after a version, or all rows if it is 0. Never rejects.
   * @param attempt number of attempts since this copy fell behind; each may read another process.
   */
  readChanges(table: string, after: number, attempt: number): Promise<NeighbourResult>;
}

/** Result of reading another process's copy. */
export type NeighbourResult =
  | ListedChanges
  /** The process did not respond. */
  | { readonly kind: 'unavailable' }
  /** The process does not know all changes after the version. It may have the whole table. */
  | { readonly kind: 'incomplete' }
  /** It is the store's turn. */
  | { readonly kind: 'use-store' };
