import type { RowStore, RowTransaction, RowTransactionResult } from './rowStore.js';
import { PlatformUnavailableError } from './tableService.js';

const INITIAL_PAUSE_MILLISECONDS = 150;
const MAX_PAUSE_MILLISECONDS = 400;

/**
 * Wraps a store so that a write that follows a failed one is refused without a call until a pause has passed. The pause
 * doubles up to a maximum and ends with a write that is answered. Load pattern: the store refuses its writer for
 * seconds, and the writer repeats its write at each tick.
 */
export function paceFailedWrites(store: RowStore): RowStore {
  let pauseMilliseconds = 0;
  let pausedUntil = Number.NEGATIVE_INFINITY;

  const transactRows = async (transaction: RowTransaction): Promise<RowTransactionResult> => {
    if (performance.now() < pausedUntil) {
      throw new PlatformUnavailableError('a write has just failed', false);
    }
    try {
      const result = await store.transactRows(transaction);
      pauseMilliseconds = 0;
      return result;
    } catch (error) {
      pauseMilliseconds = Math.min(
        Math.max(2 * pauseMilliseconds, INITIAL_PAUSE_MILLISECONDS),
        MAX_PAUSE_MILLISECONDS,
      );
      pausedUntil = performance.now() + pauseMilliseconds;
      throw error;
    }
  };

  return {
    readTable: (table) => store.readTable(table),
    waitForChanges: (table, afterVersion, waitMilliseconds, signal) =>
      store.waitForChanges(table, afterVersion, waitMilliseconds, signal),
    transactRows,
  };
}
