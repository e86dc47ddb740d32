import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { EraRowStore, type EraResponse, type RowStoreWithEras, type StatedEra } from '../eraRowStore.js';
import type { RowTransaction, RowTransactionResult, TableChanges, TableSnapshot } from '../rowStore.js';
import { eraOf, versionInEra, versionOfEra } from '../storeVersion.js';
import { PlatformUnavailableError } from '../tableService.js';

const name = { table: 'table', key: 'row' };

/** A store whose next responses a test chooses. */
class ScriptedStore implements RowStoreWithEras {
  era: StatedEra = { kind: 'missing' };
  version = 7;
  result: RowTransactionResult = { kind: 'committed', version: 8 };
  readonly transactions: RowTransaction[] = [];
  readonly waitedAfter: number[] = [];

  readTable(): Promise<EraResponse<TableSnapshot>> {
    const rows = [{ ...name, value: 'x', version: 5 }];
    return Promise.resolve({ era: this.era, value: { rows, version: this.version } });
  }

  waitForChanges(_table: string, after: number): Promise<EraResponse<TableChanges>> {
    this.waitedAfter.push(after);
    const rows = [{ ...name, value: 'y', version: this.version }];
    const { version } = this;
    const value = { kind: 'changes' as const, rows, deletedKeys: [], newestChange: version, version };
    return Promise.resolve({ era: this.era, value });
  }

  transactRows(transaction: RowTransaction): Promise<EraResponse<RowTransactionResult>> {
    this.transactions.push(transaction);
    return Promise.resolve({ era: this.era, value: this.result });
  }
}

function setUp(era: StatedEra): { scripted: ScriptedStore; store: EraRowStore } {
  const scripted = new ScriptedStore();
  scripted.era = era;
  return { scripted, store: new EraRowStore(scripted, silentLogger) };
}

async function isDropped(call: Promise<unknown>): Promise<boolean> {
  try {
    await call;
    return false;
  } catch (error) {
    assert.instance(error, PlatformUnavailableError);
    return true;
  }
}

describe('EraRowStore', () => {
  it('leaves the versions of a store without eras as they are', async () => {
    const { store } = setUp({ kind: 'missing' });
    assert.equal(await store.readTable('table'), {
      rows: [{ ...name, value: 'x', version: 5 }],
      version: 7,
    });
  });

  it('orders versions by era first', async () => {
    const { scripted, store } = setUp({ kind: 'stated', era: 1 });
    const before = await store.readTable('table');
    scripted.era = { kind: 'stated', era: 2 };
    scripted.version = 3;
    const after = await store.readTable('table');
    assert.ok(after.version > before.version);
    assert.ok((after.rows[0]?.version ?? 0) > before.version);
    assert.equal([eraOf(after.version), versionInEra(after.version)], [2, 3]);
  });

  describe('when the store has come back from an older copy', () => {
    it('takes changes after a version of the former era for lost, also if that version exists again', async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 1 });
      const { version } = await store.readTable('table');
      scripted.era = { kind: 'stated', era: 2 };
      assert.equal(await store.waitForChanges('table', version, 0), { kind: 'history-lost' });
      assert.equal(await store.waitForChanges('table', version, 0), { kind: 'history-lost' });
      assert.equal(scripted.waitedAfter, [7]);
    });

    it('lets a transaction that was planned in the former era conflict', async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 1 });
      const { rows } = await store.readTable('table');
      scripted.era = { kind: 'stated', era: 2 };
      await store.readTable('table');
      const planned = { expected: [{ ...name, version: rows[0]?.version ?? 0 }], puts: [], deletes: [] };
      assert.equal(await store.transactRows(planned), { kind: 'conflict' });
      assert.is(scripted.transactions.length, 0);
    });

    it('does not confirm a transaction that expects a version and crosses the return', async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 1 });
      const { rows } = await store.readTable('table');
      scripted.era = { kind: 'stated', era: 2 };
      const planned = { expected: [{ ...name, version: rows[0]?.version ?? 0 }], puts: [], deletes: [] };
      assert.is(await isDropped(store.transactRows(planned)), true);
    });

    it('drops a response of the former era that arrives late', async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 2 });
      await store.readTable('table');
      scripted.era = { kind: 'stated', era: 1 };
      assert.is(await isDropped(store.readTable('table')), true);
      assert.is(store.era, 2);
    });

    it('believes another process that knew it first', async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 1 });
      await store.readTable('table');
      scripted.era = { kind: 'stated', era: 2 };
      const changes = await store.waitForChanges('table', versionOfEra(2, 6), 0);
      assert.is(changes.kind, 'changes');
      assert.equal(scripted.waitedAfter, [6]);
    });
  });

  for (const era of [{ kind: 'missing' } as const, { kind: 'unreadable', text: '1,2' } as const]) {
    it(`drops a response whose era is ${era.kind} once eras are known`, async () => {
      const { scripted, store } = setUp({ kind: 'stated', era: 1 });
      await store.readTable('table');
      scripted.era = era;
      assert.is(await isDropped(store.readTable('table')), true);
      assert.is(await isDropped(store.transactRows({ expected: [], puts: [], deletes: [] })), true);
    });
  }
});
