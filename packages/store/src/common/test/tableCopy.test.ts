import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { StoredRow, TableSnapshot } from '../rowStore.js';
import { versionOfEra } from '../storeVersion.js';
import { TableCopy } from '../tableCopy.js';

const TABLE = 'control';

/** States of a table after each change; a change writes or deletes one of a few rows. */
function statesOf(
  changes: readonly { readonly key: string; readonly isDeleted: boolean }[],
): TableSnapshot[] {
  const rows = new Map<string, StoredRow>();
  const states: TableSnapshot[] = [{ rows: [], version: 0 }];
  changes.forEach(({ key, isDeleted }, index) => {
    const version = index + 1;
    if (isDeleted) {
      rows.delete(key);
    } else {
      rows.set(key, { table: TABLE, key, value: version.toString(), version });
    }
    states.push({ rows: [...rows.values()], version });
  });
  return states;
}

describe('TableCopy', () => {
  describe('when the store has come back from an older copy', () => {
    const rowOf = (key: string, version: number): StoredRow => ({ table: TABLE, key, value: '', version });

    it('shows what the store has, and lists no changes since a version of the former era', () => {
      const copy = new TableCopy();
      copy.applySnapshot({ rows: [rowOf('kept', 3), rowOf('lost', 7)], version: 7 });
      copy.applySnapshot({ rows: [rowOf('kept', versionOfEra(1, 3))], version: versionOfEra(1, 4) });
      assert.equal([...copy.rows.keys()], ['kept']);
      assert.is(copy.changesAfter(7), undefined);
      assert.is(copy.changesAfter(0)?.rows.length, 1);
      assert.is(copy.changesAfter(versionOfEra(1, 3))?.rows.length, 0);
    });
  });

  it('shows its newest version whatever older reads of the whole table arrive in between', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), isDeleted: fc.boolean() });
    const step = fc.record({ isWhole: fc.boolean(), age: fc.nat({ max: 5 }), advance: fc.nat({ max: 3 }) });
    fc.assert(
      fc.property(
        fc.array(change, { minLength: 1, maxLength: 30 }),
        fc.array(step, { maxLength: 20 }),
        (changes, steps) => {
          const states = statesOf(changes);
          const copy = new TableCopy();
          let newest = 0;
          copy.applySnapshot({ rows: [], version: 0 });
          for (const { isWhole, age, advance } of steps) {
            if (isWhole) {
              const snapshot = states[Math.max(0, newest - age)] ?? { rows: [], version: 0 };
              assert.ok(copy.applySnapshot(snapshot));
            } else {
              const before = newest;
              newest = Math.min(changes.length, newest + advance);
              const state = states[newest] ?? { rows: [], version: 0 };
              const changed = new Set<string>(changes.slice(before, newest).map(({ key }) => key));
              const rows = state.rows.filter(({ key }) => changed.has(key));
              copy.apply({
                kind: 'changes',
                rows,
                deletedKeys: [...changed].filter((key) => !rows.some((row) => row.key === key)),
                newestChange: newest,
                version: newest,
              });
            }
            const expected = states[newest]?.rows.map(({ key, version }) => `${key}@${version.toString()}`);
            assert.equal(
              [...copy.rows.values()].map(({ key, version }) => `${key}@${version.toString()}`).sort(),
              expected?.sort(),
            );
          }
        },
      ),
      { seed: 35 },
    );
  });

  it('refuses a read of the whole table that is older than the deletions it remembers', () => {
    const copy = new TableCopy();
    copy.applySnapshot({ rows: [], version: 1 });
    const keys = Array.from({ length: 600 }, (_, number) => number.toString());
    copy.apply({ kind: 'changes', rows: [], deletedKeys: keys, newestChange: 9, version: 9 });
    const row = { table: TABLE, key: '0', value: 'old', version: 1 };
    assert.is(copy.applySnapshot({ rows: [row], version: 1 }), false);
    assert.is(copy.rows.size, 0);
    assert.ok(copy.applySnapshot({ rows: [], version: 10 }));
  });
});
