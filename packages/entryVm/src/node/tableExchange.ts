import { Agent } from 'undici';
import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { requestText } from '@hickoryhoist/base/node/textRequest.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import type { NeighbourResult, NeighbourTables } from '@hickoryhoist/store/common/neighbourTables.js';
import type { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { changesForNeighbour } from '../common/neighbourChanges.js';
import type { EntryVmRecord } from '../common/entryVmRegistry.js';
import type { NeighbourSelector } from '../common/neighbourSelector.js';
import { TextServer, type TextResponse } from './textServer.js';

const PATH_PREFIX = '/tables/';
const OK_STATUS = 200;
/** The copy here does not know all changes after the version. */
const INCOMPLETE_STATUS = 410;
/** Time for a response over the slowest link, in milliseconds: 200 KB at 14 Mbit/s take 120 ms. */
const RESPONSE_TIMEOUT_MILLISECONDS = 500;
const KEEP_ALIVE_MILLISECONDS = 5_000;
/** Maximum size of a response; a table of some thousand rows fits. */
const MAX_RESPONSE_BYTES = 4_194_304;

const changesSchema = z.object({
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
  deletedKeys: z.array(z.string()),
  newestChange: z.number(),
  version: z.number(),
});

export interface TableExchangeOptions {
  readonly tables: () => ReadonlyMap<string, TableWatcher>;
  /** Rows of a table that this process knows from another source than the table's changes. */
  readonly additionalRows: (table: string) => readonly StoredRow[];
  readonly selector: NeighbourSelector;
  readonly port: number;
  /** Counts the bytes of a copy that was read from another entry VM. */
  readonly countRead?: (neighbour: EntryVmRecord, bytes: number) => void;
  readonly logger: Logger;
}

/** Serves this process's copies of tables to other entry VMs, and reads theirs. */
export class TableExchange extends DisposableBase implements NeighbourTables {
  readonly #options: TableExchangeOptions;
  readonly #server: TextServer;
  readonly #agent: Agent;

  constructor(options: TableExchangeOptions) {
    super();
    this.#options = options;
    this.#server = this.register(new TextServer((path) => this.#respond(path)));
    this.#agent = new Agent({
      connections: 1,
      pipelining: 1,
      connectTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    this.register(toDisposable(() => void this.#agent.destroy()));
  }

  /** Rejects when the address cannot be bound. */
  listen(ipAddress: string): Promise<void> {
    return this.#server.listen(`${ipAddress}:${this.#options.port.toString()}`);
  }

  async readChanges(table: string, after: number, attempt: number): Promise<NeighbourResult> {
    const { selector, port, logger } = this.#options;
    const neighbour = selector.select(attempt);
    if (neighbour === undefined) {
      return { kind: 'use-store' };
    }
    const path = `${PATH_PREFIX}${encodeURIComponent(table)}/${after.toString()}`;
    try {
      const { status, text } = await requestText(this.#agent, {
        origin: `http://${neighbour.ipAddress}:${port.toString()}`,
        method: 'GET',
        path,
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
      });
      this.#options.countRead?.(neighbour, text.length);
      if (status !== OK_STATUS) {
        return { kind: status === INCOMPLETE_STATUS ? 'incomplete' : 'unavailable' };
      }
      const { rows, ...changes } = parseDocument(path, changesSchema, text);
      return { kind: 'changes', ...changes, rows: rows.map((row) => ({ ...row, table })) };
    } catch (error) {
      logger.log('info', 'neighbour-not-read', {
        table,
        neighbour: neighbour.id,
        reason: describeError(error),
      });
      return { kind: 'unavailable' };
    }
  }

  #respond(path: string): TextResponse | undefined {
    const [name = '', after = ''] = path.slice(PATH_PREFIX.length).split('/');
    const tableName = decodeTableName(name);
    const table = tableName === undefined ? undefined : this.#options.tables().get(tableName);
    if (
      !path.startsWith(PATH_PREFIX) ||
      table === undefined ||
      tableName === undefined ||
      !/^\d{1,15}$/.test(after)
    ) {
      return undefined;
    }
    const changes = changesForNeighbour(table, Number(after), this.#options.additionalRows(tableName));
    if (changes === undefined) {
      return { status: INCOMPLETE_STATUS, text: '' };
    }
    const { deletedKeys, newestChange, version } = changes;
    const rows = changes.rows.map((row) => ({ key: row.key, value: row.value, version: row.version }));
    return { status: OK_STATUS, text: JSON.stringify({ rows, deletedKeys, newestChange, version }) };
  }
}

/** @returns undefined for a malformed name. */
function decodeTableName(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    // The request comes from something other than an entry VM and gets status 404.
    return undefined;
  }
}
