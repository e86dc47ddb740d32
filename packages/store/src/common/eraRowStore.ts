import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type {
  RowStore,
  RowTransaction,
  RowTransactionResult,
  StoredRow,
  TableChanges,
  TableSnapshot,
} from './rowStore.js';
import { eraOf, MAX_ERA, versionInEra, versionOfEra } from './storeVersion.js';
import { PlatformUnavailableError } from './tableService.js';

/** What a response of the store says about its era. */
export type StatedEra =
  | { readonly kind: 'stated'; readonly era: number }
  /** The store has no eras, or a response is incomplete. */
  | { readonly kind: 'missing' }
  | { readonly kind: 'unreadable'; readonly text: string };

/** A response of the store whose versions count from the start of its era. */
export interface EraResponse<T> {
  readonly era: StatedEra;
  readonly value: T;
}

/** A store whose versions are those of one era, with the era in each response. */
export interface RowStoreWithEras {
  /** @throws PlatformUnavailableError, also if the era changes between two pages of a table. */
  readTable(table: string): Promise<EraResponse<TableSnapshot>>;
  /** @throws PlatformUnavailableError, also when the signal aborts. */
  waitForChanges(
    table: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<EraResponse<TableChanges>>;
  /** @throws PlatformUnavailableError with `mayHaveApplied` set when the response was lost. */
  transactRows(transaction: RowTransaction): Promise<EraResponse<RowTransactionResult>>;
}

/**
 * Gives the versions of all eras of a store one order. Load pattern: the store comes back from an older copy. It gives out
 * versions again, so that a version of a former era may name another state now: changes after it are lost, and a
 * transaction that expects it conflicts. A response that was sent before the return and arrives after it is dropped.
 */
export class EraRowStore implements RowStore {
  readonly #store: RowStoreWithEras;
  readonly #logger: Logger;
  #era: number | undefined;

  constructor(store: RowStoreWithEras, logger: Logger) {
    this.#store = store;
    this.#logger = logger;
  }

  /** The newest known era; 0 for a store without eras. */
  get era(): number {
    return this.#era ?? 0;
  }

  async readTable(table: string): Promise<TableSnapshot> {
    const response = await this.#store.readTable(table);
    const era = this.#accept(response.era, false);
    const { rows, version } = response.value;
    return { rows: rowsOfEra(era, rows), version: versionOfEra(era, version) };
  }

  async waitForChanges(
    table: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TableChanges> {
    this.#adopt(eraOf(afterVersion));
    if (eraOf(afterVersion) < this.era) {
      return { kind: 'history-lost' };
    }
    const response = await this.#store.waitForChanges(
      table,
      versionInEra(afterVersion),
      waitMilliseconds,
      signal,
    );
    const era = this.#accept(response.era, false);
    const changes = response.value;
    if (era !== eraOf(afterVersion) || changes.kind === 'history-lost') {
      return { kind: 'history-lost' };
    }
    return {
      ...changes,
      rows: rowsOfEra(era, changes.rows),
      newestChange: changes.newestChange === 0 ? 0 : versionOfEra(era, changes.newestChange),
      version: versionOfEra(era, changes.version),
    };
  }

  async transactRows(transaction: RowTransaction): Promise<RowTransactionResult> {
    const { expected } = transaction;
    expected.forEach(({ version }) => {
      this.#adopt(eraOf(version));
    });
    const plannedIn = this.era;
    if (expected.some(({ version }) => version !== 0 && eraOf(version) !== plannedIn)) {
      return { kind: 'conflict' };
    }
    const response = await this.#store.transactRows({
      ...transaction,
      expected: expected.map((row) => ({ ...row, version: versionInEra(row.version) })),
    });
    const era = this.#accept(response.era, true);
    if (response.value.kind === 'conflict') {
      return response.value;
    }
    if (era !== plannedIn && this.#hasExpectation(transaction)) {
      // The expected versions may name another state in this era.
      throw new PlatformUnavailableError('the store has come back from an older copy', true);
    }
    return { kind: 'committed', version: versionOfEra(era, response.value.version) };
  }

  #hasExpectation({ expected }: RowTransaction): boolean {
    return expected.some(({ version }) => version !== 0);
  }

  /**
   * Takes note of the era of a response.
   * @returns the era.
   * @throws PlatformUnavailableError for a response that is not of the newest known era, or does not tell.
   */
  #accept(stated: StatedEra, isWrite: boolean): number {
    const known = this.#era;
    switch (stated.kind) {
      case 'missing':
        if (known === undefined) {
          return 0;
        }
        return this.#refuse('it states no era', isWrite);
      case 'unreadable':
        return this.#refuse(`era ${stated.text}`, isWrite);
      case 'stated': {
        const { era } = stated;
        if (era > MAX_ERA || era < (known ?? 0)) {
          return this.#refuse(`era ${era.toString()} after ${(known ?? 0).toString()}`, isWrite);
        }
        this.#era ??= era;
        this.#adopt(era);
        return era;
      }
    }
  }

  /** Takes note of a newer era, of which another process may have known first. */
  #adopt(era: number): void {
    if (era <= this.era) {
      return;
    }
    if (this.#era !== undefined) {
      this.#logger.log('warn', 'store-returned', { era, before: this.#era });
    }
    this.#era = era;
  }

  #refuse(reason: string, isWrite: boolean): never {
    this.#logger.log('warn', 'store-response-dropped', { reason });
    throw new PlatformUnavailableError(`the response was dropped: ${reason}`, isWrite);
  }
}

function rowsOfEra(era: number, rows: readonly StoredRow[]): readonly StoredRow[] {
  return era === 0 ? rows : rows.map((row) => ({ ...row, version: versionOfEra(era, row.version) }));
}
