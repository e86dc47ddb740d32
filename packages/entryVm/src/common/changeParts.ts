import type { TableChanges } from '@hickoryhoist/store/common/rowStore.js';

type Changes = Extract<TableChanges, { kind: 'changes' }>;

/** Changes of a table after one version and up to another. */
export interface ChangePart {
  readonly after: number;
  readonly changes: Changes;
}

/**
 * Divides changes into parts that follow one another and can each be taken by itself, with rows of at most so many
 * bytes of text each, or one row. Deleted keys go with the first part: their versions are not known, and whoever misses a
 * later part asks for what comes after the ones that it has.
 */
export function divideChanges(after: number, changes: Changes, mostBytes: number): readonly ChangePart[] {
  const rows = [...changes.rows].sort((left, right) => left.version - right.version);
  const groups: Changes['rows'][number][][] = [[]];
  let bytes = 0;
  for (const row of rows) {
    const group = groups.at(-1) ?? [];
    const size = row.key.length + row.value.length;
    // Rows that one transaction wrote have one version and stay together.
    if (group.length > 0 && bytes + size > mostBytes && group.at(-1)?.version !== row.version) {
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
    const part: ChangePart = {
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
    return part;
  });
}
