import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type {
  RowStore,
  RowTransaction,
  RowTransactionResult,
  StoredRow,
  TableChanges,
  TableSnapshot,
} from '@hickoryhoist/store/common/rowStore.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import {
  type EraResponse,
  EraRowStore,
  type RowStoreWithEras,
} from '@hickoryhoist/store/common/eraRowStore.js';
import { versionOfEra } from '@hickoryhoist/store/common/storeVersion.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';

const RESPONSE_MILLISECONDS = 4;
/** Time beyond its wait after which a call without a response fails, as with the client of the store. */
const SILENT_CALL_TIMEOUT_MILLISECONDS = 1_200;
/** Time after which a wait without a response fails, as if the caller's connection timed out. */
const UNANSWERED_WAIT_TIMEOUT_MILLISECONDS = 11_200;

/** Emulated state of the store, seen by all callers. */
export type StoreCondition =
  | { readonly kind: 'working' }
  | { readonly kind: 'down' }
  /** Every call takes this much longer. */
  | { readonly kind: 'slow'; readonly answerMilliseconds: number }
  /** Calls get no response and fail after this time. */
  | { readonly kind: 'silent'; readonly failsAfterMilliseconds: number }
  /** Writes are applied after this time, but their responses are lost. */
  | { readonly kind: 'responses-lost'; readonly appliedAfterMilliseconds: number };

/** A change of a row, for the feed. */
export interface Change {
  readonly table: string;
  readonly key: string;
  readonly version: number;
}

/** A copy of the store from which it may come back. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly changes: readonly Change[];
  readonly version: number;
}

/**
 * In-memory emulator of the platform's table store, with outages, lost responses, lost change history, and returns from an
 * older copy of itself.
 */
export class MemoryRowStore {
  readonly #rows = new Map<string, StoredRow>();
  readonly #onDidWrite = new Emitter<void>();
  #changes: Change[] = [];
  #version = 0;
  #era = 0;
  #historyStartVersion = 0;
  #calls = 0;
  #condition: StoreCondition = { kind: 'working' };
  #lastConditionalWriter: string | undefined;
  /** Table of the waits that go without a response, by caller; undefined for all tables. */
  readonly #unansweredWaits = new Map<string, string | undefined>();
  readonly #refusedCallers = new Set<string>();
  readonly #silencedCallers = new Set<string>();

  /** The caller that last wrote under a condition. */
  get lastConditionalWriter(): string | undefined {
    return this.#lastConditionalWriter;
  }

  /** Number of calls by all callers so far. */
  get calls(): number {
    return this.#calls;
  }

  setCondition(condition: StoreCondition): void {
    this.#condition = condition;
  }

  /** Makes the store unavailable to one caller only, or available to it again. */
  refuse(caller: string, isRefused: boolean): void {
    if (isRefused) {
      this.#refusedCallers.add(caller);
    } else {
      this.#refusedCallers.delete(caller);
    }
  }

  /** Lets all calls of one caller go without a response, also those in progress, as if its packets were dropped. */
  silence(caller: string, isSilent: boolean): void {
    if (isSilent) {
      this.#silencedCallers.add(caller);
    } else {
      this.#silencedCallers.delete(caller);
    }
  }

  /**
   * Lets later waits of one caller for changes go without a response. Waits in progress aren't affected.
   * @param table the table whose waits are affected; by default those of all tables.
   */
  silenceWaits(caller: string, isSilent: boolean, table?: string): void {
    if (isSilent) {
      this.#unansweredWaits.set(caller, table);
    } else {
      this.#unansweredWaits.delete(caller);
    }
  }

  /** Discards all changes so far; waits from an older version get `history-lost`. */
  dropHistory(): void {
    this.#historyStartVersion = this.#version;
    this.#changes = [];
  }

  takeCopy(): StoreCopy {
    return { rows: new Map(this.#rows), changes: [...this.#changes], version: this.#version };
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
  returnFrom({ rows, changes, version }: StoreCopy): void {
    this.#rows.clear();
    rows.forEach((row, id) => this.#rows.set(id, row));
    this.#changes = [...changes];
    this.#version = version;
    this.#era += 1;
    this.#onDidWrite.fire();
  }

  /** Writes a row directly, as an operator or a server would; the store's condition doesn't matter. */
  put(table: string, key: string, value: string): void {
    this.#apply({ expected: [], puts: [{ table, key, value }], deletes: [] });
  }

  delete(table: string, key: string): void {
    this.#apply({ expected: [], puts: [], deletes: [{ table, key }] });
  }

  /** A row with its version as callers of the store see it. */
  row(table: string, key: string): StoredRow | undefined {
    const row = this.#rows.get(rowId(table, key));
    return row === undefined ? undefined : { ...row, version: versionOfEra(this.#era, row.version) };
  }

  /** Creates a client for one caller, with a call count of its own. */
  connect(caller: string): RowStore & { readonly calls: number } {
    const connection = this.connectWithEras(caller);
    const store = new EraRowStore(connection, silentLogger);
    return {
      get calls() {
        return connection.calls;
      },
      readTable: (table) => store.readTable(table),
      waitForChanges: (table, after, wait, signal) => store.waitForChanges(table, after, wait, signal),
      transactRows: (transaction) => store.transactRows(transaction),
    };
  }

  /** Creates a client whose versions are those of one era, as the store states them. */
  connectWithEras(caller: string): RowStoreWithEras & { readonly calls: number } {
    let calls = 0;
    const respond = <T>(value: T): EraResponse<T> => ({
      era: { kind: 'stated', era: this.#era },
      value,
    });
    const emulateCall = async (signal?: AbortSignal): Promise<void> => {
      calls += 1;
      this.#calls += 1;
      await delay(RESPONSE_MILLISECONDS);
      if (this.#condition.kind === 'slow') {
        await delay(this.#condition.answerMilliseconds, signal);
      }
      if (this.#silencedCallers.has(caller)) {
        await this.#failSilently(SILENT_CALL_TIMEOUT_MILLISECONDS, signal);
      }
      if (this.#condition.kind === 'silent') {
        await delay(this.#condition.failsAfterMilliseconds, signal);
        throw new PlatformUnavailableError('the store did not respond', true);
      }
      if (this.#condition.kind === 'down' || this.#refusedCallers.has(caller)) {
        throw new PlatformUnavailableError('the store is down', false);
      }
    };
    return {
      get calls() {
        return calls;
      },
      readTable: async (table) => {
        await emulateCall();
        return respond(this.#snapshot(table));
      },
      waitForChanges: async (table, afterVersion, waitMilliseconds, signal) => {
        await emulateCall(signal);
        const startedAt = performance.now();
        const changes = await (this.#unansweredWaits.has(caller) &&
        (this.#unansweredWaits.get(caller) ?? table) === table
          ? this.#failWaitAfterTimeout(signal)
          : this.#waitForChanges(table, afterVersion, waitMilliseconds, signal));
        if (this.#condition.kind === 'down' || this.#refusedCallers.has(caller)) {
          throw new PlatformUnavailableError('the store went down', false);
        }
        if (this.#silencedCallers.has(caller)) {
          const failsAt = startedAt + waitMilliseconds + SILENT_CALL_TIMEOUT_MILLISECONDS;
          await this.#failSilently(failsAt - performance.now(), signal);
        }
        return respond(changes);
      },
      transactRows: async (transaction) => {
        await emulateCall();
        if (transaction.expected.length > 0) {
          this.#lastConditionalWriter = caller;
        }
        return respond(await this.#transact(transaction));
      },
    };
  }

  async #transact(transaction: RowTransaction): Promise<RowTransactionResult> {
    if (this.#condition.kind === 'responses-lost') {
      const { appliedAfterMilliseconds } = this.#condition;
      setTimeout(() => this.#apply(transaction), appliedAfterMilliseconds);
      await delay(1_000);
      throw new PlatformUnavailableError('the response was lost', true);
    }
    return this.#apply(transaction);
  }

  #apply({ expected, puts, deletes }: RowTransaction): RowTransactionResult {
    const isExpected = expected.every(
      ({ table, key, version }) => (this.#rows.get(rowId(table, key))?.version ?? 0) === version,
    );
    if (!isExpected) {
      return { kind: 'conflict' };
    }
    this.#version += 1;
    const version = this.#version;
    for (const { table, key, value } of puts) {
      this.#rows.set(rowId(table, key), { table, key, value, version });
      this.#changes.push({ table, key, version });
    }
    for (const { table, key } of deletes) {
      this.#rows.delete(rowId(table, key));
      this.#changes.push({ table, key, version });
    }
    this.#onDidWrite.fire();
    return { kind: 'committed', version };
  }

  #snapshot(table: string): TableSnapshot {
    const rows = [...this.#rows.values()].filter((row) => row.table === table);
    return { rows, version: this.#version };
  }

  async #waitForChanges(
    table: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TableChanges> {
    const endsAt = performance.now() + waitMilliseconds;
    for (;;) {
      if (signal?.aborted === true) {
        throw new PlatformUnavailableError('the wait was aborted', false);
      }
      if (afterVersion < this.#historyStartVersion || afterVersion > this.#version) {
        return { kind: 'history-lost' };
      }
      const keys = new Set(
        this.#changes
          .filter((change) => change.table === table && change.version > afterVersion)
          .map(({ key }) => key),
      );
      if (keys.size > 0 || performance.now() >= endsAt) {
        return this.#collectChanges(table, keys);
      }
      await this.#waitForWrite(endsAt - performance.now(), signal);
    }
  }

  #collectChanges(table: string, keys: ReadonlySet<string>): TableChanges {
    const rows = [...keys].flatMap((key) => this.#rows.get(rowId(table, key)) ?? []);
    const deletedKeys = [...keys].filter((key) => !this.#rows.has(rowId(table, key)));
    const newestChange = this.#changes.findLast((change) => change.table === table)?.version ?? 0;
    return { kind: 'changes', rows, deletedKeys, newestChange, version: this.#version };
  }

  async #failSilently(milliseconds: number, signal?: AbortSignal): Promise<never> {
    await delay(milliseconds, signal);
    throw new PlatformUnavailableError('no response of the store', true);
  }

  #failWaitAfterTimeout(signal?: AbortSignal): Promise<TableChanges> {
    return new Promise((_resolve, reject) => {
      const fail = (): void => {
        reject(new PlatformUnavailableError('the wait was aborted or timed out', false));
      };
      setTimeout(fail, UNANSWERED_WAIT_TIMEOUT_MILLISECONDS);
      signal?.addEventListener('abort', fail, { once: true });
    });
  }

  #waitForWrite(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        subscription.dispose();
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      const subscription = this.#onDidWrite.event(finish);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }
}

function rowId(table: string, key: string): string {
  return `${table}\n${key}`;
}
