/** Identifies a row. */
export interface RowName {
  readonly table: string;
  readonly key: string;
}

/** A row as read from the store. */
export interface StoredRow extends RowName {
  readonly value: string;
  /** Number of the transaction that wrote the row; increases monotonically across all rows. */
  readonly version: number;
}

/** Atomic transaction: applies completely, or not at all if a row does not have the expected version. */
export interface RowTransaction {
  /** Version 0 means that the row must not exist. */
  readonly expected: readonly (RowName & { readonly version: number })[];
  readonly puts: readonly (RowName & { readonly value: string })[];
  readonly deletes: readonly RowName[];
}

/** Result of a transaction. */
export type RowTransactionResult =
  { readonly kind: 'committed'; readonly version: number } | { readonly kind: 'conflict' };

/** All rows of a table as of one version. */
export interface TableSnapshot {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** Changes of a table after a given version. */
export type TableChanges =
  | {
      readonly kind: 'changes';
      readonly rows: readonly StoredRow[];
      readonly deletedKeys: readonly string[];
      /** Version of the newest of these changes; 0 when there are none. */
      readonly newestChange: number;
      /** Version up to which these changes are complete. */
      readonly version: number;
    }
  /** The store no longer keeps the changes after that version; the table must be read again. */
  | { readonly kind: 'history-lost' };

/** Tables of rows with conditional transactions and a change feed. Reads are linearizable. */
export interface RowStore {
  /** @throws PlatformUnavailableError */
  readTable(table: string): Promise<TableSnapshot>;

  /**
   * Reads the change feed: waits up to `waitMilliseconds` for changes after `afterVersion`.
   * @throws PlatformUnavailableError, also when the signal aborts.
   */
  waitForChanges(
    table: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TableChanges>;

  /** @throws PlatformUnavailableError with `mayHaveApplied` set when the response was lost. */
  transactRows(transaction: RowTransaction): Promise<RowTransactionResult>;
}
