import type { RowStore, RowTransaction } from './rowStore.js';

/** Wraps a store and tells the version of each transaction that it has committed. */
export function recordTransactions(
  store: RowStore,
  onDidCommit: (transaction: RowTransaction, version: number) => void,
): RowStore {
  return {
    readTable: (table) => store.readTable(table),
    waitForChanges: (table, afterVersion, waitMilliseconds, signal) =>
      store.waitForChanges(table, afterVersion, waitMilliseconds, signal),
    transactRows: async (transaction) => {
      const result = await store.transactRows(transaction);
      if (result.kind === 'committed') {
        onDidCommit(transaction, result.version);
      }
      return result;
    },
  };
}
