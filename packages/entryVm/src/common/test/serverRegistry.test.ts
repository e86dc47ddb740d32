import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import { versionOfEra } from '@hickoryhoist/store/common/storeVersion.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { ServerRegistry } from '../serverRegistry.js';

/** Within this time after an outage of the store, users expect servers to announce themselves again. */
const REANNOUNCEMENT_MILLISECONDS = 2_000;

function rowsOf(...ids: readonly string[]): ReadonlyMap<string, StoredRow> {
  return new Map(ids.map((key) => [key, { table: 'servers', key, value: key, version: 1 }]));
}

function decode(id: string, value: string): ServerRecord {
  if (id === 'damaged') {
    throw new Error('unreadable');
  }
  const [incarnation, phase] = value.split(' ');
  return {
    id,
    incarnation: value === id ? 1 : Number(incarnation),
    service: 'catalogue',
    address: id,
    availabilityZone: 'z',
    slots: 2,
    phase: phase === 'leaving' ? phase : 'ready',
    warmupMilliseconds: 0,
  };
}

/** The table with one row, of a server that announces its incarnation, and that it is leaving if it is. */
function rowOf(incarnation: number, version: number, phase = 'ready'): ReadonlyMap<string, StoredRow> {
  const value = `${incarnation.toString()} ${phase}`;
  return new Map([['a', { table: 'servers', key: 'a', value, version }]]);
}

async function withRegistry(
  test: (registry: ServerRegistry, health: StoreHealth, clock: FakeTimers.Clock) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] });
  const health = new StoreHealth(silentLogger);
  try {
    await test(new ServerRegistry(decode, () => health.reachableMilliseconds(), silentLogger), health, clock);
  } finally {
    clock.uninstall();
  }
}

describe('ServerRegistry', () => {
  it('removes a server that leaves just after this process has started', async () => {
    await withRegistry(async (registry, health, clock) => {
      health.recordSuccess();
      registry.update(rowsOf('a', 'b'));
      await clock.tickAsync(100);
      registry.update(rowsOf('a'));
      assert.equal([...registry.servers.keys()], ['a']);
    });
  });

  it('retains absent servers after an outage until they should have announced themselves again', async () => {
    await withRegistry(async (registry, health, clock) => {
      health.recordSuccess();
      registry.update(rowsOf('a', 'b'));
      health.recordFailure(new Error('down'));
      await clock.tickAsync(1_000);
      health.recordFailure(new Error('down'));
      await clock.tickAsync(1_000);
      health.recordSuccess();
      registry.update(rowsOf('a'));
      await clock.tickAsync(REANNOUNCEMENT_MILLISECONDS);
      registry.update(rowsOf('a'));
      assert.is(registry.servers.size, 2);
      await clock.tickAsync(1_000);
      registry.update(rowsOf('a'));
      assert.equal([...registry.servers.keys()], ['a']);
    });
  });

  it('takes a server that stated that it is leaving for leaving until it has a new incarnation', async () => {
    await withRegistry((registry, health) => {
      health.recordSuccess();
      const row = (incarnation: number, version: number): ReadonlyMap<string, StoredRow> =>
        new Map([['a', { table: 'servers', key: 'a', value: incarnation.toString(), version }]]);
      registry.update(row(1, 1));
      assert.is(registry.recordStatedLeaving('a', 1), true);
      assert.is(registry.servers.get('a')?.phase, 'leaving');
      assert.ok(registry.leavingMilliseconds('a') !== undefined);
      assert.is(registry.recordStatedLeaving('a', 1), false);
      registry.update(row(1, 2));
      assert.is(registry.servers.get('a')?.phase, 'leaving');
      registry.update(new Map());
      registry.update(row(1, 3));
      assert.is(registry.servers.get('a')?.phase, 'leaving');
      registry.update(row(2, 4));
      assert.is(registry.servers.get('a')?.phase, 'ready');
      assert.is(registry.leavingMilliseconds('a'), undefined);
      // A response of the earlier process that arrives late says nothing about this one.
      assert.is(registry.recordStatedLeaving('a', 1), false);
      assert.is(registry.servers.get('a')?.phase, 'ready');
      return Promise.resolve();
    });
  });

  it('ignores an unreadable row and keeps the other servers', async () => {
    await withRegistry((registry, health) => {
      health.recordSuccess();
      registry.update(rowsOf('a', 'damaged'));
      assert.equal([...registry.servers.keys()], ['a']);
      return Promise.resolve();
    });
  });

  describe('when the store performs a write of a former incarnation late', () => {
    it('keeps what the present incarnation stated and announced', async () => {
      await withRegistry(async (registry, health) => {
        health.recordSuccess();
        registry.update(rowOf(10, 1));
        registry.update(rowOf(20, 2));
        registry.recordStatedLeaving('a', 20);
        registry.update(rowOf(10, 3));
        await Promise.resolve();
        assert.is(registry.servers.get('a')?.incarnation, 20);
        assert.is(registry.servers.get('a')?.phase, 'leaving');
      });
    });

    it('does not bring back a server that has left', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowOf(20, 1));
        await clock.tickAsync(10_000);
        registry.update(new Map());
        registry.update(rowOf(10, 2));
        assert.is(registry.servers.get('a'), undefined);
        registry.update(rowOf(30, 3));
        assert.is(registry.servers.get('a')?.incarnation, 30);
      });
    });
  });

  describe('when the store performs an earlier write of the same incarnation late', () => {
    it('keeps the server leaving, also after its announcement was gone', async () => {
      await withRegistry(async (registry, health) => {
        health.recordSuccess();
        registry.update(rowOf(20, 1));
        registry.update(rowOf(20, 2, 'leaving'));
        registry.update(rowOf(20, 3));
        assert.is(registry.servers.get('a')?.phase, 'leaving');
        registry.update(new Map());
        registry.update(rowOf(20, 4));
        await Promise.resolve();
        assert.not.equal(registry.servers.get('a')?.phase, 'ready');
        registry.update(rowOf(30, 5));
        assert.is(registry.servers.get('a')?.phase, 'ready');
      });
    });
  });

  describe('when the store comes back from an older copy', () => {
    const returned = (version: number): number => versionOfEra(1, version);

    it('keeps servers that the store has lost until they should have announced themselves again', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowsOf('a', 'b'));
        await clock.tickAsync(10_000);
        const copy = new Map([['a', { table: 'servers', key: 'a', value: 'a', version: returned(1) }]]);
        registry.update(copy);
        await clock.tickAsync(REANNOUNCEMENT_MILLISECONDS);
        registry.update(copy);
        assert.equal([...registry.servers.keys()], ['a', 'b']);
        await clock.tickAsync(1_000);
        registry.update(copy);
        assert.equal([...registry.servers.keys()], ['a']);
      });
    });

    it('takes no server that had left for ready until it writes again', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowOf(20, 1));
        await clock.tickAsync(10_000);
        registry.update(new Map());
        registry.update(rowOf(20, returned(1)));
        assert.is(registry.servers.get('a'), undefined);
        registry.update(rowOf(20, returned(2)));
        assert.is(registry.servers.get('a')?.phase, 'ready');
      });
    });

    it('keeps a server leaving that the store has ready', async () => {
      await withRegistry(async (registry, health) => {
        health.recordSuccess();
        registry.update(rowOf(20, 1));
        registry.update(rowOf(20, 2, 'leaving'));
        registry.update(rowOf(20, returned(1)));
        await Promise.resolve();
        assert.is(registry.servers.get('a')?.phase, 'leaving');
      });
    });
  });

  describe('when a server states that it is leaving before its incarnation is known', () => {
    const BORN = 1_000;

    it('counts it as leaving when the announcement of that incarnation arrives late', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowOf(BORN, 1));
        await clock.tickAsync(BORN + 4_000);
        // The process that responded has started at 3 s; the entry VM knows only the one before.
        assert.is(registry.recordStatedLeaving('a', BORN), true);
        await clock.tickAsync(3_000);
        registry.update(rowOf(3_000, 2));
        assert.is(registry.servers.get('a')?.phase, 'leaving');
        registry.update(rowOf(3_000, 3));
        assert.is(registry.servers.get('a')?.phase, 'leaving');
      });
    });

    it('counts a process that has started since as ready', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowOf(BORN, 1));
        await clock.tickAsync(BORN + 4_000);
        registry.recordStatedLeaving('a', BORN);
        await clock.tickAsync(3_000);
        registry.update(rowOf(BORN + 5_500, 2));
        assert.is(registry.servers.get('a')?.phase, 'ready');
      });
    });

    it('counts it as ready once the statement is old, because the clocks of VMs may differ', async () => {
      await withRegistry(async (registry, health, clock) => {
        health.recordSuccess();
        registry.update(rowOf(BORN, 1));
        await clock.tickAsync(BORN + 4_000);
        registry.recordStatedLeaving('a', BORN);
        await clock.tickAsync(3_000);
        registry.update(rowOf(3_000, 2));
        await clock.tickAsync(9_000);
        registry.tick();
        assert.is(registry.servers.get('a')?.phase, 'ready');
      });
    });
  });
});
