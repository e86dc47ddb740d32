import * as assert from 'uvu/assert';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { DecodedRows } from '../decodedRows.js';

const ENTRY_VMS = 300;
const CHANGES = 50;

function entryVmRows(): Map<string, StoredRow> {
  const rows = new Map<string, StoredRow>();
  for (let index = 0; index < ENTRY_VMS; index += 1) {
    const key = `entry-vm/${index.toString()}`;
    rows.set(key, { table: 'control', key, value: index.toString(), version: index + 1 });
  }
  return rows;
}

describe('DecodedRows', () => {
  const decode = (row: StoredRow): string[] => (row.key.startsWith('entry-vm/') ? [row.value] : []);

  it('decodes no row of hundreds again, and keeps its array, while other rows change', () => {
    let decodeCount = 0;
    const decoded = new DecodedRows((row) => {
      decodeCount += 1;
      return decode(row);
    });
    const rows = entryVmRows();
    const values = decoded.read(rows);
    assert.is(values.length, ENTRY_VMS);
    for (let change = 1; change <= CHANGES; change += 1) {
      rows.set('assignment', { table: 'control', key: 'assignment', value: '{}', version: 1_000 + change });
      assert.is(decoded.read(rows), values);
    }
    assert.is(decodeCount, ENTRY_VMS + CHANGES);
  });

  it('notices rows that change, become unreadable, appear and disappear', () => {
    const decoded = new DecodedRows((row) => (row.value === 'unreadable' ? [] : decode(row)));
    const rows = new Map<string, StoredRow>();
    const put = (key: string, value: string, version: number): readonly string[] => {
      rows.set(key, { table: 'control', key, value, version });
      return decoded.read(rows);
    };
    assert.equal(put('entry-vm/1', 'one', 1), ['one']);
    assert.equal(put('entry-vm/2', 'two', 2), ['one', 'two']);
    assert.equal(put('entry-vm/1', 'new', 3), ['new', 'two']);
    assert.equal(put('entry-vm/2', 'unreadable', 4), ['new']);
    rows.delete('entry-vm/1');
    assert.equal(decoded.read(rows), []);
  });
});
