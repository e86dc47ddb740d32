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
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';

const ANSWER_MILLISECONDS = 4;
/** Time after which a caller gives up a silent connection. */
const SILENCE_MILLISECONDS = 11_200;

/** How the store treats its callers. */
export type StoreCondition =
  | { readonly kind: 'working' }
  | { readonly kind: 'down' }
  /** Answers take longer than usual. */
  | { readonly kind: 'slow'; readonly answerMilliseconds: number }
  /** Calls are not answered, and fail after a time. */
  | { readonly kind: 'silent'; readonly failsAfterMilliseconds: number }
  /** Writes are done after a time, and not answered. */
  | { readonly kind: 'answers-lost'; readonly doneAfterMilliseconds: number };

interface Change {
  readonly table: string;
  readonly key: string;
  readonly version: number;
}

/** The platform's table store in memory, with outages, lost answers and a history that can be dropped. */
export class MemoryRowStore {
  readonly #rows = new Map<string, StoredRow>();
  readonly #onDidWrite = new Emitter<void>();
  #changes: Change[] = [];
  #version = 0;
  #oldestVersion = 0;
  #calls = 0;
  #condition: StoreCondition = { kind: 'working' };
  readonly #silentCallers = new Set<string>();
  readonly #refusedCallers = new Set<string>();

  /** Calls of all callers so far. */
  get calls(): number {
    return this.#calls;
  }

  setCondition(condition: StoreCondition): void {
    this.#condition = condition;
  }

  /** Turns one caller away while others are served. */
  refuse(caller: string, isRefused: boolean): void {
    if (isRefused) {
      this.#refusedCallers.add(caller);
    } else {
      this.#refusedCallers.delete(caller);
    }
  }

  /** Lets waits of one caller that begin from now on go unanswered. */
  silenceWaits(caller: string, isSilent: boolean): void {
    if (isSilent) {
      this.#silentCallers.add(caller);
    } else {
      this.#silentCallers.delete(caller);
    }
  }

  dropHistory(): void {
    this.#oldestVersion = this.#version;
    this.#changes = [];
  }

  /** Writes as the operator or a server does, whatever the condition. */
  put(table: string, key: string, value: string): void {
    this.#apply({ expected: [], puts: [{ table, key, value }], deletes: [] });
  }

  delete(table: string, key: string): void {
    this.#apply({ expected: [], puts: [], deletes: [{ table, key }] });
  }

  row(table: string, key: string): StoredRow | undefined {
    return this.#rows.get(rowId(table, key));
  }

  /** The store as one caller reaches it. */
  connect(caller: string): RowStore & { readonly calls: number } {
    let calls = 0;
    const enter = async (signal?: AbortSignal): Promise<void> => {
      calls += 1;
      this.#calls += 1;
      await delay(ANSWER_MILLISECONDS);
      if (this.#condition.kind === 'slow') {
        await delay(this.#condition.answerMilliseconds, signal);
      }
      if (this.#condition.kind === 'silent') {
        await delay(this.#condition.failsAfterMilliseconds, signal);
        throw new PlatformUnavailableError('the store does not answer', true);
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
        await enter();
        return this.#snapshot(table);
      },
      waitForChanges: async (table, afterVersion, waitMilliseconds, signal) => {
        await enter(signal);
        const changes = await (this.#silentCallers.has(caller)
          ? this.#neverAnswer(signal)
          : this.#waitForChanges(table, afterVersion, waitMilliseconds, signal));
        if (this.#condition.kind === 'down' || this.#refusedCallers.has(caller)) {
          throw new PlatformUnavailableError('the store went down', false);
        }
        return changes;
      },
      transactRows: async (transaction) => {
        await enter();
        return this.#transact(transaction);
      },
    };
  }

  async #transact(transaction: RowTransaction): Promise<RowTransactionResult> {
    if (this.#condition.kind === 'answers-lost') {
      const { doneAfterMilliseconds } = this.#condition;
      setTimeout(() => this.#apply(transaction), doneAfterMilliseconds);
      await delay(1_000);
      throw new PlatformUnavailableError('the answer was lost', true);
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
        throw new PlatformUnavailableError('the wait was given up', false);
      }
      if (afterVersion < this.#oldestVersion) {
        return { kind: 'history-lost' };
      }
      const keys = new Set(
        this.#changes
          .filter((change) => change.table === table && change.version > afterVersion)
          .map(({ key }) => key),
      );
      if (keys.size > 0 || performance.now() >= endsAt) {
        return this.#changesOf(table, keys);
      }
      await this.#nextWrite(endsAt - performance.now(), signal);
    }
  }

  #changesOf(table: string, keys: ReadonlySet<string>): TableChanges {
    const rows = [...keys].flatMap((key) => this.#rows.get(rowId(table, key)) ?? []);
    const deletedKeys = [...keys].filter((key) => !this.#rows.has(rowId(table, key)));
    const newestChange = this.#changes.findLast((change) => change.table === table)?.version ?? 0;
    return { kind: 'changes', rows, deletedKeys, newestChange, version: this.#version };
  }

  #neverAnswer(signal?: AbortSignal): Promise<TableChanges> {
    return new Promise((_resolve, reject) => {
      const fail = (): void => {
        reject(new PlatformUnavailableError('the wait was given up', false));
      };
      setTimeout(fail, SILENCE_MILLISECONDS);
      signal?.addEventListener('abort', fail, { once: true });
    });
  }

  #nextWrite(milliseconds: number, signal?: AbortSignal): Promise<void> {
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
