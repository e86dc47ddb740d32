import type { TableChanges } from '@hickoryhoist/store/common/rowStore.js';

type Changes = Extract<TableChanges, { kind: 'changes' }>;

/** Part of a table's changes: all of them after a version and up to `changes.version`. */
export interface ChangeBatch {
  readonly after: number;
  readonly changes: Changes;
}

/**
 * Splits changes into consecutive batches that can be applied one by one. A batch contains at most `maxBytes`
 * of row data, or the rows of one version if these are larger. Deleted keys have no version and go into the
 * first batch. In a later batch they could be lost: a receiver that misses it requests only the changes after
 * the last version that it has applied.
 */
export function splitIntoBatches(after: number, changes: Changes, maxBytes: number): readonly ChangeBatch[] {
  const rows = [...changes.rows].sort((left, right) => left.version - right.version);
  const groups: Changes['rows'][number][][] = [[]];
  let bytes = 0;
  for (const row of rows) {
    const group = groups.at(-1) ?? [];
    const size = row.key.length + row.value.length;
    // Rows written by one transaction share a version and must stay together.
    if (group.length > 0 && bytes + size > maxBytes && group.at(-1)?.version !== row.version) {
      groups.push([row]);
      bytes = size;
    } else {
      group.push(row);
      bytes += size;
    }
  }
  let previous = after;
  return groups.map((group, index) => {
    const isLast = index === groups.length - 1;
    const version = isLast ? changes.version : (group.at(-1)?.version ?? previous);
    const batch: ChangeBatch = {
      after: previous,
      changes: {
        kind: 'changes',
        rows: group,
        deletedKeys: index === 0 ? changes.deletedKeys : [],
        newestChange: isLast ? changes.newestChange : version,
        version,
      },
    };
    previous = version;
    return batch;
  });
}
