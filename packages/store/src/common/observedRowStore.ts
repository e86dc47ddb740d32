import type { RowStore, RowTransaction } from './rowStore.js';
import type { StoreHealth } from './storeHealth.js';

/** Kind of a call to the store; a `look` is a `wait` with a timeout of 0. */
export type StoreCallKind = 'read' | 'wait' | 'look' | 'write';

/** Outcome of a call; `given-up` means that the caller aborted it. */
export type StoreCallOutcome = 'answered' | 'failed' | 'given-up';

/** What a call is about. */
export type StoreCallSubject =
  | { readonly kind: 'read' | 'wait' | 'look'; readonly table: string }
  | { readonly kind: 'write'; readonly transaction: RowTransaction };

/**
 * Wraps a store and records the success or failure of each call in `health`. Calls aborted by the caller count as
 * neither.
 * @param onDidCall called at the end of each call.
 */
export function observeRowStore(
  store: RowStore,
  health: StoreHealth,
  onDidCall: (subject: StoreCallSubject, outcome: StoreCallOutcome) => void = () => undefined,
): RowStore {
  const observe = async <T>(
    subject: StoreCallSubject,
    call: Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> => {
    try {
      const response = await call;
      health.recordSuccess();
      onDidCall(subject, 'answered');
      return response;
    } catch (error) {
      const isGivenUp = signal?.aborted === true;
      if (!isGivenUp) {
        health.recordFailure(error);
      }
      onDidCall(subject, isGivenUp ? 'given-up' : 'failed');
      throw error;
    }
  };
  return {
    readTable: (table) => observe({ kind: 'read', table }, store.readTable(table)),
    waitForChanges: (table, afterVersion, waitMilliseconds, signal) =>
      observe(
        { kind: waitMilliseconds === 0 ? 'look' : 'wait', table },
        store.waitForChanges(table, afterVersion, waitMilliseconds, signal),
        signal,
      ),
    transactRows: (transaction) => observe({ kind: 'write', transaction }, store.transactRows(transaction)),
  };
}
