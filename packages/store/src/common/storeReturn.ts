import type { StoredRow } from './rowStore.js';
import { eraOf } from './storeVersion.js';

/**
 * Time after a return of the store in which those whose rows it has lost write them again, in milliseconds. Users expect
 * that of servers within two seconds.
 */
const REWRITE_MILLISECONDS = 2_400;

/**
 * Notices by the rows of a table that the store has come back from an older copy. Load pattern: for a moment, rows of
 * live processes are missing and rows of ended ones are back, everywhere at once.
 */
export class StoreReturn {
  #era: number | undefined;
  #returnedAt = Number.NEGATIVE_INFINITY;

  /** Must be called with all rows after each change. @returns whether the store has come back since the last call. */
  observe(rows: ReadonlyMap<string, StoredRow>): boolean {
    let era = this.#era ?? 0;
    for (const { version } of rows.values()) {
      era = Math.max(era, eraOf(version));
    }
    const hasReturned = this.#era !== undefined && era > this.#era;
    if (rows.size > 0) {
      this.#era = era;
    }
    if (hasReturned) {
      this.#returnedAt = performance.now();
    }
    return hasReturned;
  }

  /** Whether rows that are missing may still be written again. */
  get isRecent(): boolean {
    return performance.now() - this.#returnedAt < REWRITE_MILLISECONDS;
  }
}
