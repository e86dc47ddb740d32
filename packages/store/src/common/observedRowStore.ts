import type { RowStore } from './rowStore.js';
import type { StoreHealth } from './storeHealth.js';

/** What is asked of the store; a look is a wait that is answered at once. */
export type StoreCallKind = 'read' | 'wait' | 'look' | 'write';

/** How a call ended. */
export type StoreCallOutcome = 'answered' | 'failed' | 'given-up';

/**
 * A store whose answers and failures are told to the health of the store.
 * @param onDidCall called at the end of each call.
 */
export function observeRowStore(
  store: RowStore,
  health: StoreHealth,
  onDidCall: (kind: StoreCallKind, outcome: StoreCallOutcome) => void = () => undefined,
): RowStore {
  const observe = async <T>(kind: StoreCallKind, call: Promise<T>, signal?: AbortSignal): Promise<T> => {
    try {
      const answer = await call;
      health.recordSuccess();
      onDidCall(kind, 'answered');
      return answer;
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
