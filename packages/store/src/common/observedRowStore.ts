import type { RowStore } from './rowStore.js';
import type { StoreHealth } from './storeHealth.js';

/** Kind of a call to the store; a `look` is a `wait` with a timeout of 0. */
export type StoreCallKind = 'read' | 'wait' | 'look' | 'write';

/** Outcome of a call; `given-up` means that the caller aborted it. */
export type StoreCallOutcome = 'answered' | 'failed' | 'given-up';

/**
 * Wraps a store and records the success or failure of each call in `health`. Calls aborted by the caller count as
 * neither.
 * @param onDidCall called at the end of each call.
 */
export function observeRowStore(
  store: RowStore,
  health: StoreHealth,
  onDidCall: (kind: StoreCallKind, outcome: StoreCallOutcome) => void = () => undefined,
): RowStore {
  const observe = async <T>(kind: StoreCallKind, call: Promise<T>, signal?: AbortSignal): Promise<T> => {
    try {
      const response = await call;
      health.recordSuccess();
      onDidCall(kind, 'answered');
      return response;
    } catch (error) {
      const isGivenUp = signal?.aborted === true;
      if (!isGivenUp) {
        health.recordFailure(error);
      }
      onDidCall(kind, isGivenUp ? 'given-up' : 'failed');
      throw error;
    }
  };
  return {
    readTable: (table) => observe('read', store.readTable(table)),
    waitForChanges: (table, afterVersion, waitMilliseconds, signal) =>
      observe(
        waitMilliseconds === 0 ? 'look' : 'wait',
        store.waitForChanges(table, afterVersion, waitMilliseconds, signal),
        signal,
      ),
    transactRows: (transaction) => observe('write', store.transactRows(transaction)),
  };
}
