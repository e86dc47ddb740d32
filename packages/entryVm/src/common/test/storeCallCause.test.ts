import * as assert from 'uvu/assert';
import { CONFIRMATION_TABLE } from '@hickoryhoist/keyownership/common/assignerRow.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { RowTransaction } from '@hickoryhoist/store/common/rowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { storeCallCause } from '../storeCallCause.js';

const NAMES = { configurationTable: 'op', serversTable: 'servers' };

function writeOf(table: string, key: string, isDelete = false): RowTransaction {
  return isDelete
    ? { expected: [], puts: [], deletes: [{ table, key }] }
    : { expected: [], puts: [{ table, key, value: '' }], deletes: [] };
}

describe('storeCallCause', () => {
  for (const [table, cause] of [
    ['op', 'configuration'],
    ['servers', 'servers'],
    [CONTROL_TABLE, 'control'],
    [CONFIRMATION_TABLE, 'probe'],
    ['another', 'other'],
  ] as const) {
    it(`counts reads of the table ${table} as ${cause}`, () => {
      assert.is(storeCallCause({ kind: 'wait', table }, NAMES), cause);
    });
  }

  for (const { transaction, cause } of [
    { transaction: writeOf(CONFIRMATION_TABLE, ASSIGNER_ROW_KEY), cause: 'lease-confirmation' },
    { transaction: writeOf(CONTROL_TABLE, ASSIGNER_ROW_KEY), cause: 'election' },
    { transaction: writeOf(CONTROL_TABLE, 'assignment/catalogue'), cause: 'assignment' },
    { transaction: writeOf(CONTROL_TABLE, 'entry-vm/a'), cause: 'entry-vm-row' },
    { transaction: writeOf(CONTROL_TABLE, 'entry-vm/a', true), cause: 'entry-vm-row' },
    { transaction: writeOf('status', 'a'), cause: 'other' },
  ]) {
    it(`counts a write as ${cause}`, () => {
      assert.is(storeCallCause({ kind: 'write', transaction }, NAMES), cause);
    });
  }
});
