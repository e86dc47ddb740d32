import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import type { ListedChanges } from '@hickoryhoist/store/common/tableCopy.js';
import type { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';

/**
 * Changes that another entry VM gets from the copy of a table here.
 * @param additionalRows rows that this process knows from another source than the changes of the table; they replace
 *   older ones in the copy, and are always included.
 * @returns undefined if they are not all known.
 */
export function changesForNeighbour(
  table: TableWatcher,
  after: number,
  additionalRows: readonly StoredRow[],
): ListedChanges | undefined {
  const changes = table.changesAfter(after);
  if (changes === undefined) {
    return undefined;
  }
  const additionalKeys = new Set(additionalRows.map(({ key }) => key));
  const rows = changes.rows.filter(({ key }) => !additionalKeys.has(key));
  return { ...changes, rows: [...rows, ...additionalRows] };
}
