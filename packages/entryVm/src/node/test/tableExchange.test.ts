import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { UnacceptingPort } from '@hickoryhoist/standIns/node/unacceptingPort.js';
import { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { EntryVmRecord } from '../../common/entryVmRegistry.js';
import { NeighbourSelector } from '../../common/neighbourSelector.js';
import { TableExchange } from '../tableExchange.js';
import { type TextResponse, TextServer } from '../textServer.js';

const TABLE = 'op';
/** Three neighbours that do not respond, and the store after them, must fit into the 2 s until a change is in force. */
const MAX_READ_MILLISECONDS = 600;

function record(id: string, ipAddress: string): EntryVmRecord {
  return {
    id,
    ipAddress,
    incarnation: '1',
    availabilityZone: 'a',
    processorCores: 1,
    linkMegabitsPerSecond: 100,
  };
}

/** Both entry VMs share a port and have addresses of their own, as on the platform. */
const entryVms = [record('vm-1', '127.0.0.1'), record('vm-2', '127.0.0.2')];

async function withExchange(
  id: string,
  port: number,
  tables: ReadonlyMap<string, TableWatcher>,
  test: (exchange: TableExchange) => Promise<void>,
): Promise<void> {
  const exchange = new TableExchange({
    tables: () => tables,
    additionalRows: () => [{ table: TABLE, key: 'assignment', value: 'newer', version: 900 }],
    selector: new NeighbourSelector(id, () => entryVms),
    port,
    logger: silentLogger,
  });
  try {
    await test(exchange);
  } finally {
    exchange.dispose();
  }
}

describe('TableExchange', () => {
  it('reads the changes after a version from a neighbour', async () => {
    const store = new MemoryRowStore();
    const watcher = new TableWatcher(
      store.connect('vm-2'),
      { table: TABLE, waitMilliseconds: () => 1_000, pauseMilliseconds: 1 },
      silentLogger,
    );
    await new Promise((resolve) => setTimeout(resolve, 50));
    const after = watcher.changesAfter(0)?.version ?? 0;
    store.put(TABLE, 'config', 'x'.repeat(100_000));
    await new Promise((resolve) => setTimeout(resolve, 50));
    const port = await findFreePort();
    await withExchange('vm-2', port, new Map([[TABLE, watcher]]), async (server) => {
      await server.listen('127.0.0.2');
      await withExchange('vm-1', port, new Map(), async (client) => {
        const result = await client.readChanges(TABLE, after, 0);
        assert.is(result.kind, 'changes');
        assert.equal(result.kind === 'changes' && result.rows.map(({ key, value }) => [key, value.length]), [
          ['config', 100_000],
          ['assignment', 5],
        ]);
        assert.equal(await client.readChanges('unknown', after, 0), { kind: 'unavailable' });
        assert.equal(await client.readChanges(TABLE, after, 1), { kind: 'use-store' });
      });
    });
    watcher.dispose();
  });

  for (const [name, response] of Object.entries<TextResponse>({
    'that is no document': { status: 200, text: '{"rows":[' },
    'with fields of another type': {
      status: 200,
      text: '{"rows":{},"deletedKeys":[],"newestChange":1,"version":1}',
    },
    'that is no success': { status: 503, text: '' },
    'without end': { status: 200, text: 'x'.repeat(6_000_000) },
  })) {
    it(`treats a response ${name} as none`, async () => {
      const port = await findFreePort();
      const server = new TextServer(() => response);
      await server.listen(`127.0.0.2:${port.toString()}`);
      await withExchange('vm-1', port, new Map(), async (client) => {
        assert.equal(await client.readChanges(TABLE, 0, 0), { kind: 'unavailable' });
      });
      server.dispose();
    });
  }

  it('treats a neighbour that does not listen as unavailable', async () => {
    await withExchange('vm-1', await findFreePort(), new Map(), async (client) => {
      assert.equal(await client.readChanges(TABLE, 0, 0), { kind: 'unavailable' });
    });
  });

  it('gives up a neighbour without power that neither accepts nor refuses a connection', async () => {
    const unaccepting = await UnacceptingPort.listen('127.0.0.2');
    try {
      await withExchange('vm-1', unaccepting.port, new Map(), async (client) => {
        const startedAt = performance.now();
        const results = [client.readChanges(TABLE, 0, 0), client.readChanges('servers', 0, 0)];
        assert.equal(await Promise.all(results), [{ kind: 'unavailable' }, { kind: 'unavailable' }]);
        const milliseconds = Math.round(performance.now() - startedAt);
        assert.ok(milliseconds < MAX_READ_MILLISECONDS, `${milliseconds.toString()} ms`);
      });
    } finally {
      await unaccepting.dispose();
    }
  });

  it('answers a malformed path with status 404', async () => {
    const port = await findFreePort();
    await withExchange('vm-2', port, new Map(), async (server) => {
      await server.listen('127.0.0.2');
      for (const path of ['/tables/%ff/0', '/tables/op/x', '/', '/tables/op']) {
        const response = await fetch(`http://127.0.0.2:${port.toString()}${path}`);
        assert.is(response.status, 404, path);
      }
    });
  });
});
