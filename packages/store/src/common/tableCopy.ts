import type { StoredRow, TableChanges, TableSnapshot } from './rowStore.js';
import { eraOf } from './storeVersion.js';

/** Number of deletions to remember for processes that read changes from this one. */
const MAX_DELETIONS = 500;

/** Changes that are known one by one. */
export type ListedChanges = Extract<TableChanges, { kind: 'changes' }>;

/** A deletion with the version up to which the changes that contained it are complete. */
interface Deletion {
  readonly key: string;
  readonly version: number;
}

/**
 * Copy of a table with its version and recent deletions. Changes may come from several sources in any order.
 * Load pattern: a whole read of the table is answered late, while changes that are newer than the answer are relayed:
 * a row that they deleted does not come back, and a row that they added stays.
 */
export class TableCopy {
  readonly #rows = new Map<string, StoredRow>();
  /** Recent deletions, the oldest first, and the version from which on they are complete. */
  readonly #deletions: Deletion[] = [];
  #deletionsCompleteFrom = 0;
  #version: number | undefined;
  #newestChange = 0;

  /** Rows by key. */
  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#rows;
  }

  /** Version up to which all changes are known; undefined until the table has been read. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Version of the newest known change of this table. */
  get newestChange(): number {
    return this.#newestChange;
  }

  /**
   * Applies changes that follow the version of this copy, or one before it.
   * @returns whether a row may have changed. Changes that end before the version of this copy are left out: rows that
   * they delete may have been written again.
   */
  apply({ version, newestChange, deletedKeys, rows }: ListedChanges): boolean {
    if (version < (this.#version ?? 0)) {
      return false;
    }
    if (this.#version === undefined) {
      this.#deletionsCompleteFrom = version;
    }
    this.#delete(deletedKeys, version);
    this.#version = version;
    this.#newestChange = Math.max(this.#newestChange, newestChange);
    rows.forEach((row) => {
      this.#putIfNewer(row);
    });
    return rows.length > 0 || deletedKeys.length > 0;
  }

  /**
   * Applies the whole table as of a version, which may be older than this copy.
   * @returns false if it is older and the deletions since then are not all known; nothing has changed then.
   */
  applySnapshot(snapshot: TableSnapshot): boolean {
    const version = this.#version ?? 0;
    if (this.#version === undefined) {
      this.#deletionsCompleteFrom = snapshot.version;
    } else if (snapshot.version < version && snapshot.version < this.#deletionsCompleteFrom) {
      return false;
    }
    const keys = new Set(snapshot.rows.map(({ key }) => key));
    const missing = [...this.#rows.values()].filter(
      (row) => row.version <= snapshot.version && !keys.has(row.key),
    );
    const deletedSince = new Map<string, number>();
    for (const deletion of this.#deletions) {
      if (deletion.version > snapshot.version) {
        deletedSince.set(deletion.key, deletion.version);
      }
    }
    this.#delete(
      missing.map(({ key }) => key),
      Math.max(version, snapshot.version),
    );
    for (const row of snapshot.rows) {
      // Later pages of the snapshot may contain rows that are newer than its version, and older than a deletion.
      if (row.version > (deletedSince.get(row.key) ?? 0)) {
        this.#putIfNewer(row);
      }
    }
    this.#version = Math.max(version, snapshot.version);
    return true;
  }

  /**
   * Changes of this copy after a version, for another process; all rows for version 0, after which no process can have
   * a row that has been deleted.
   * @returns undefined if deletions since then are no longer known.
   */
  changesAfter(after: number): ListedChanges | undefined {
    const version = this.#version;
    if (version === undefined || (after !== 0 && after < this.#deletionsCompleteFrom)) {
      return undefined;
    }
    if (after !== 0 && eraOf(after) < eraOf(version)) {
      // The other process may have rows that the store has lost and this copy never had.
      return undefined;
    }
    return {
      kind: 'changes',
      rows: [...this.#rows.values()].filter((row) => row.version > after),
      deletedKeys: [
        ...new Set(this.#deletions.filter((deletion) => deletion.version > after).map(({ key }) => key)),
      ],
      newestChange: this.#newestChange,
      version,
    };
  }

  #delete(keys: readonly string[], version: number): void {
    for (const key of keys) {
      this.#rows.delete(key);
    }
    this.#deletions.push(...keys.map((key) => ({ key, version })));
    for (const { version: forgotten } of this.#deletions.splice(0, this.#deletions.length - MAX_DELETIONS)) {
      this.#deletionsCompleteFrom = Math.max(this.#deletionsCompleteFrom, forgotten);
    }
  }

  #putIfNewer(row: StoredRow): void {
    if (row.version >= (this.#rows.get(row.key)?.version ?? 0)) {
      this.#rows.set(row.key, row);
      this.#newestChange = Math.max(this.#newestChange, row.version);
    }
  }
}
