import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';

interface DecodedRow<T> {
  readonly version: number;
  readonly values: readonly T[];
}

/**
 * Values decoded from the rows of a table, each row once for each of its versions. Load pattern: the table of a large
 * deployment has a row for each entry VM, and other rows of it change several times a second on all of them.
 */
export class DecodedRows<T> {
  readonly #decode: (row: StoredRow) => readonly T[];
  #rows: ReadonlyMap<string, DecodedRow<T>> = new Map();
  #values: readonly T[] = [];

  /** @param decode returns no value for a row that has none. */
  constructor(decode: (row: StoredRow) => readonly T[]) {
    this.#decode = decode;
  }

  /** @returns the values of all rows; the same array as before if none of them has changed. */
  read(rows: ReadonlyMap<string, StoredRow>): readonly T[] {
    const decoded = new Map<string, DecodedRow<T>>();
    let isChanged = false;
    for (const [key, row] of rows) {
      const known = this.#rows.get(key);
      const current =
        known?.version === row.version ? known : { version: row.version, values: this.#decode(row) };
      decoded.set(key, current);
      isChanged ||= current !== known && current.values.length + (known?.values.length ?? 0) > 0;
    }
    for (const [key, { values }] of this.#rows) {
      isChanged ||= values.length > 0 && !decoded.has(key);
    }
    this.#rows = decoded;
    if (isChanged) {
      this.#values = [...decoded.values()].flatMap(({ values }) => values);
    }
    return this.#values;
  }
}
