import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { observeRowStore } from '../observedRowStore.js';
import type { RowStore } from '../rowStore.js';
import { StoreHealth } from '../storeHealth.js';
import type { NeighbourResult, NeighbourTables } from '../neighbourTables.js';
import { type FeedChanges, TableWatcher, type TableWatcherOptions } from '../tableWatcher.js';

const TABLE = 'control';

async function withWatcher(
  test: (
    store: MemoryRowStore,
    watcher: TableWatcher,
    clock: FakeTimers.Clock,
    health: StoreHealth,
  ) => Promise<void>,
  extraOptions: Partial<TableWatcherOptions> = {},
): Promise<void> {
  const clock = FakeTimers.install({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  const store = new MemoryRowStore();
  const options = { table: TABLE, waitMilliseconds: () => 10_000, pauseMilliseconds: 10, ...extraOptions };
  const health = new StoreHealth(silentLogger);
  const watcher = new TableWatcher(observeRowStore(store.connect('vm'), health), options, silentLogger);
  try {
    await clock.tickAsync(50);
    await test(store, watcher, clock, health);
  } finally {
    watcher.dispose();
    clock.uninstall();
  }
}

describe('TableWatcher', () => {
  it('applies writes and deletions', async () => {
    await withWatcher(async (store, watcher, clock) => {
      store.put(TABLE, 'a', 'one');
      await clock.tickAsync(50);
      assert.is(watcher.rows.get('a')?.value, 'one');
      store.delete(TABLE, 'a');
      await clock.tickAsync(50);
      assert.is(watcher.rows.size, 0);
    });
  });

  it('confirms the copy as often after a change as without one', async () => {
    const periodMilliseconds = 1_000;
    await withWatcher(
      async (store, watcher, clock) => {
        store.put(TABLE, 'a', 'one');
        await clock.tickAsync(50);
        const readAt = watcher.confirmedAt;
        const responseMilliseconds = 20;
        await clock.tickAsync(periodMilliseconds);
        assert.ok(watcher.confirmedAt > readAt);
        assert.ok(watcher.confirmedAt <= readAt + periodMilliseconds + responseMilliseconds);
      },
      { waitMilliseconds: () => periodMilliseconds, pauseMilliseconds: 250 },
    );
  });

  it('asks its options only when the code that created it is done', async () => {
    const store = new MemoryRowStore();
    const owner = { isConstructed: false };
    const calls: boolean[] = [];
    const watcher = new TableWatcher(
      store.connect('vm'),
      {
        table: TABLE,
        waitMilliseconds: () => 10,
        pauseMilliseconds: 10,
        firstCopySource: () => {
          calls.push(owner.isConstructed);
          return 'store';
        },
      },
      silentLogger,
    );
    owner.isConstructed = true;
    await Promise.resolve();
    watcher.dispose();
    assert.equal(calls, [true]);
  });

  it('reads the table again when the history is lost', async () => {
    await withWatcher(async (store, watcher, clock) => {
      store.put(TABLE, 'a', 'one');
      await clock.tickAsync(50);
      store.setCondition({ kind: 'down' });
      store.put(TABLE, 'a', 'two');
      store.delete(TABLE, 'b');
      store.dropHistory();
      await clock.tickAsync(3_000);
      store.setCondition({ kind: 'working' });
      await clock.tickAsync(2_000);
      assert.is(watcher.rows.get('a')?.value, 'two');
    });
  });

  it('repeats a full read that an outage interrupts', async () => {
    await withWatcher(async (store, watcher, clock) => {
      store.put(TABLE, 'a', 'one');
      await clock.tickAsync(50);
      const before = watcher.fullReadCount;
      store.setCondition({ kind: 'down' });
      watcher.reload();
      await clock.tickAsync(3_000);
      assert.is(watcher.fullReadCount, before);
      store.setCondition({ kind: 'working' });
      await clock.tickAsync(2_000);
      assert.is(watcher.fullReadCount, before + 1);
    });
  });

  it('keeps what relays have deleted and added while a read of the whole table was on its way', async () => {
    const store = new MemoryRowStore();
    const connected = store.connect('vm');
    const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    // The store reads the table at once and its response takes long.
    const slowReads: RowStore = {
      ...connected,
      readTable: async (table) => {
        const snapshot = await connected.readTable(table);
        await delay(200);
        return snapshot;
      },
    };
    const watcher = new TableWatcher(
      slowReads,
      { table: TABLE, waitMilliseconds: () => 10_000, pauseMilliseconds: 10 },
      silentLogger,
    );
    try {
      store.put(TABLE, 'deleted', 'one');
      store.put(TABLE, 'kept', 'one');
      await clock.tickAsync(300);
      watcher.setSource('relay');
      watcher.reload();
      await clock.tickAsync(50);
      const after = watcher.version ?? 0;
      watcher.applyRelayedChanges(after, {
        kind: 'changes',
        rows: [{ table: TABLE, key: 'added', value: 'one', version: after + 2 }],
        deletedKeys: ['deleted'],
        newestChange: after + 2,
        version: after + 2,
      });
      const before = watcher.fullReadCount;
      await clock.tickAsync(300);
      assert.is(watcher.fullReadCount, before + 1);
      assert.equal([...watcher.rows.keys()].sort(), ['added', 'kept']);
      assert.is(watcher.version, after + 2);
    } finally {
      watcher.dispose();
      clock.uninstall();
    }
  });

  it('applies relayed changes without calls to the store', async () => {
    await withWatcher(async (store, watcher, clock) => {
      store.put(TABLE, 'a', 'one');
      store.put(TABLE, 'b', 'one');
      await clock.tickAsync(50);
      const version = watcher.newestChange;
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      const { calls } = store;
      const relay = (after: number, upTo: number, value: string, deletedKeys: string[] = []): void => {
        const rows = [{ table: TABLE, key: 'a', value, version: upTo }];
        watcher.applyRelayedChanges(after, {
          kind: 'changes',
          rows,
          deletedKeys,
          newestChange: upTo,
          version: upTo,
        });
      };
      relay(version, version + 1, 'two', ['b']);
      assert.is(watcher.rows.get('a')?.value, 'two');
      assert.is(watcher.rows.has('b'), false);
      relay(version - 1, version, 'old');
      assert.is(watcher.rows.get('a')?.value, 'two');
      await clock.tickAsync(20_000);
      assert.is(store.calls, calls);
    });
  });

  it('reads the feed when relayed changes leave a gap, and when another process has seen a newer version', async () => {
    await withWatcher(async (store, watcher, clock) => {
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      store.put(TABLE, 'a', 'one');
      store.put(TABLE, 'b', 'two');
      const version = store.row(TABLE, 'b')?.version ?? 0;
      const rows = [{ table: TABLE, key: 'b', value: 'two', version }];
      watcher.applyRelayedChanges(version - 1, {
        kind: 'changes',
        rows,
        deletedKeys: [],
        newestChange: version,
        version,
      });
      await clock.tickAsync(50);
      assert.is(watcher.rows.get('a')?.value, 'one');
      store.put(TABLE, 'a', 'three');
      watcher.expectVersion(version + 1);
      await clock.tickAsync(400);
      watcher.expectVersion(version + 1);
      await clock.tickAsync(50);
      assert.is(watcher.rows.get('a')?.value, 'three');
    });
  });

  it('reads the feed when one process has seen a newer version, whatever other processes have seen', async () => {
    await withWatcher(async (store, watcher, clock) => {
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      store.put(TABLE, 'a', 'one');
      const version = store.row(TABLE, 'a')?.version ?? 0;
      for (let elapsed = 0; elapsed < 500; elapsed += 100) {
        watcher.expectVersion(version);
        await clock.tickAsync(50);
        watcher.expectVersion(0);
        await clock.tickAsync(50);
      }
      assert.is(watcher.rows.get('a')?.value, 'one');
    });
  });

  it('lets a pending call succeed or fail, however often other processes report newer versions', async () => {
    await withWatcher(async (store, watcher, clock, health) => {
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      store.setCondition({ kind: 'silent', failsAfterMilliseconds: 1_200 });
      const { calls } = store;
      for (let elapsed = 0; elapsed < 6_000; elapsed += 200) {
        watcher.expectVersion(1_000);
        await clock.tickAsync(200);
      }
      const maxCalls = 6_000 / 1_200;
      assert.ok(store.calls - calls <= maxCalls, `${(store.calls - calls).toString()} calls`);
      assert.is(health.isReachable, false);
    });
  });

  it('catches up within 1.5 s after an outage, even if a call made during the outage is still pending', async () => {
    for (const outageOffset of [0, 250, 500, 750, 1_000, 1_250, 1_500, 1_750]) {
      await withWatcher(async (store, watcher, clock) => {
        watcher.setSource('relay');
        await clock.tickAsync(11_000);
        const reportVersionFor = async (milliseconds: number, version: number): Promise<void> => {
          for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
            watcher.expectVersion(version);
            await clock.tickAsync(50);
          }
        };
        store.put(TABLE, 'a', 'one');
        const version = store.row(TABLE, 'a')?.version ?? 0;
        store.setCondition({ kind: 'silent', failsAfterMilliseconds: 1_200 });
        await reportVersionFor(12_000 + outageOffset, version);
        store.setCondition({ kind: 'working' });
        await reportVersionFor(1_500, version);
        assert.is(watcher.rows.get('a')?.value, 'one', `${outageOffset.toString()} ms`);
      });
    }
  });

  it('catches up over a slow connection while relayed changes leave a gap', async () => {
    await withWatcher(async (store, watcher, clock) => {
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      for (let write = 0; write < 20; write += 1) {
        store.put(TABLE, 'a', write.toString());
      }
      store.setCondition({ kind: 'slow', answerMilliseconds: 200 });
      const { calls } = store;
      const version = store.row(TABLE, 'a')?.version ?? 0;
      for (let elapsed = 0; elapsed < 300; elapsed += 50) {
        watcher.applyRelayedChanges(version - 1, {
          kind: 'changes',
          rows: [],
          deletedKeys: [],
          newestChange: 0,
          version,
        });
        await clock.tickAsync(50);
      }
      assert.is(watcher.rows.get('a')?.value, '19');
      assert.is(store.calls - calls, 1);
    });
  });

  it('reads the feed again when no process relays changes', async () => {
    await withWatcher(async (store, watcher, clock) => {
      watcher.setSource('relay');
      await clock.tickAsync(11_000);
      store.put(TABLE, 'a', 'one');
      await clock.tickAsync(1_000);
      assert.is(watcher.rows.size, 0);
      watcher.setSource('feed');
      await clock.tickAsync(50);
      assert.is(watcher.rows.get('a')?.value, 'one');
    });
  });

  it('keeps the copy unchanged during an outage and catches up afterwards', async () => {
    await withWatcher(async (store, watcher, clock) => {
      store.setCondition({ kind: 'down' });
      store.put(TABLE, 'a', 'one');
      let isChanged = false;
      watcher.onDidChange(() => {
        isChanged = true;
      });
      await clock.tickAsync(20_000);
      assert.is(isChanged, false);
      store.setCondition({ kind: 'working' });
      await clock.tickAsync(1_500);
      assert.is(watcher.rows.get('a')?.value, 'one');
    });
  });
});

describe('TableWatcher with neighbours', () => {
  const changesUpTo = (version: number, fields: Partial<FeedChanges['changes']> = {}): NeighbourResult => ({
    kind: 'changes',
    rows: [],
    deletedKeys: [],
    newestChange: version,
    version,
    ...fields,
  });

  /** Runs a test with a copy that relays keep up to date and that has just fallen behind version 1,000. */
  async function withLaggingWatcher(
    respond: (attempt: number, after: number) => NeighbourResult,
    test: (store: MemoryRowStore, watcher: TableWatcher, calls: () => number) => void | Promise<void>,
  ): Promise<void> {
    const neighbours: NeighbourTables = {
      readChanges: (_table, after, attempt) => Promise.resolve(respond(attempt, after)),
    };
    await withWatcher(
      async (store, watcher, clock) => {
        store.put(TABLE, 'a', 'one');
        await clock.tickAsync(50);
        watcher.setSource('relay');
        await clock.tickAsync(11_000);
        const { calls } = store;
        for (let elapsed = 0; elapsed < 2_000; elapsed += 200) {
          watcher.expectVersion(1_000);
          await clock.tickAsync(200);
        }
        await test(store, watcher, () => store.calls - calls);
      },
      { neighbours },
    );
  }

  it('reads missing changes from a neighbour without a call to the store', async () => {
    const rows = [{ table: TABLE, key: 'a', value: 'two', version: 1_000 }];
    await withLaggingWatcher(
      () => changesUpTo(1_000, { rows }),
      (_store, watcher, calls) => {
        assert.is(watcher.rows.get('a')?.value, 'two');
        assert.is(calls(), 0);
      },
    );
  });

  it('never returns to an older version of a row, and ignores a copy that is older than its own', async () => {
    const older = { table: TABLE, key: 'a', value: 'zero', version: 0 };
    await withLaggingWatcher(
      (attempt) =>
        attempt === 0 ? changesUpTo(0, { deletedKeys: ['a'] }) : changesUpTo(1_000, { rows: [older] }),
      (_store, watcher) => {
        assert.is(watcher.rows.get('a')?.value, 'one');
      },
    );
  });

  it('reads the whole table of a neighbour that does not know all deletions', async () => {
    const rows = [{ table: TABLE, key: 'b', value: 'new', version: 1_000 }];
    await withLaggingWatcher(
      (_attempt, after) => (after > 0 ? { kind: 'incomplete' } : changesUpTo(1_000, { rows })),
      (_store, watcher, calls) => {
        assert.equal([...watcher.rows.keys()], ['b']);
        assert.is(calls(), 0);
      },
    );
  });

  it('asks the next neighbour, and the store last', async () => {
    const attempts: number[] = [];
    await withLaggingWatcher(
      (attempt) => {
        attempts.push(attempt);
        return attempt < 2 ? { kind: 'unavailable' } : { kind: 'use-store' };
      },
      (_store, _watcher, calls) => {
        assert.equal(attempts.slice(0, 3), [0, 1, 2]);
        assert.ok(calls() >= 1);
      },
    );
  });

  it('offers changes and deletions after a version, and none when it does not know all of them', async () => {
    await withWatcher(async (store, watcher, clock) => {
      assert.is(watcher.changesAfter(-1), undefined);
      store.put(TABLE, 'a', 'one');
      store.put(TABLE, 'b', 'one');
      await clock.tickAsync(50);
      const version = watcher.newestChange;
      store.delete(TABLE, 'a');
      store.put(TABLE, 'c', 'one');
      await clock.tickAsync(50);
      const changes = watcher.changesAfter(version);
      assert.equal(
        changes?.rows.map(({ key }) => key),
        ['c'],
      );
      assert.equal(changes?.deletedKeys, ['a']);
      for (let number = 0; number < 600; number += 1) {
        store.put(TABLE, 'd', 'one');
        store.delete(TABLE, 'd');
        await clock.tickAsync(20);
      }
      assert.is(watcher.changesAfter(version), undefined);
    });
  });

  it('reads its first copy from another neighbour when one is silent and the store turns it away', async () => {
    const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    const store = new MemoryRowStore();
    store.refuse('vm', true);
    const rows = [{ table: TABLE, key: 'a', value: 'one', version: 5 }];
    const neighbours: NeighbourTables = {
      readChanges: async (_table, _after, attempt) => {
        if (attempt === 0) {
          await delay(500);
          return { kind: 'unavailable' };
        }
        return changesUpTo(5, { rows });
      },
    };
    const watcher = new TableWatcher(
      store.connect('vm'),
      {
        table: TABLE,
        waitMilliseconds: () => 1_000,
        pauseMilliseconds: 10,
        neighbours,
        firstCopySource: () => 'neighbours',
      },
      silentLogger,
    );
    watcher.setSource('relay');
    try {
      await clock.tickAsync(600);
      assert.is(watcher.rows.get('a')?.value, 'one');
    } finally {
      watcher.dispose();
      clock.uninstall();
    }
  });

  it('reports only relevant changes to other processes', async () => {
    await withWatcher(
      async (store, watcher, clock) => {
        const reported: string[] = [];
        watcher.onDidReadFeed(({ changes }) => {
          reported.push(...changes.rows.map(({ key, value }) => `${key}=${value}`));
        });
        store.put(TABLE, 'a', 'one');
        await clock.tickAsync(50);
        store.put(TABLE, 'a', 'one, still');
        await clock.tickAsync(50);
        assert.equal(reported, ['a=one']);
        assert.is(watcher.rows.get('a')?.value, 'one, still');
      },
      { isRelevantChange: (before, after) => before === undefined || !after.value.endsWith('still') },
    );
  });

  it('reports a row that another process relayed while the feed was being read', async () => {
    await withWatcher(
      async (store, watcher, clock) => {
        const reported: string[] = [];
        watcher.onDidReadFeed(({ changes }) => {
          reported.push(...changes.rows.map(({ key }) => key));
        });
        store.put(TABLE, 'a', 'one');
        await clock.tickAsync(50);
        const after = watcher.newestChange;
        const relayed = { table: TABLE, key: 'b', value: 'new', version: after + 1 };
        watcher.applyRelayedChanges(after, {
          kind: 'changes',
          rows: [relayed],
          deletedKeys: [],
          newestChange: relayed.version,
          version: relayed.version,
        });
        store.put(TABLE, 'b', 'new');
        await clock.tickAsync(50);
        // A process that missed the relayed changes takes the ones reported here for all changes after this version.
        assert.equal(reported, ['a', 'b']);
      },
      { isRelevantChange: (before, row) => before?.value !== row.value },
    );
  });
});
