import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import type { TableService } from '@hickoryhoist/store/common/tableService.js';

const DRAIN_ROW = 'drains';
const MAXIMUM_ATTEMPTS = 10;
const drainRowSchema = z.object({ addresses: z.array(z.string()) });

/** Stores the addresses of servers that operators have drained. */
export class DrainStore {
  readonly #table: TableService;

  constructor(table: TableService) {
    this.#table = table;
  }

  /** @throws PlatformUnavailableError */
  async read(): Promise<readonly string[]> {
    const row = await this.#table.read(DRAIN_ROW);
    return row.version === 0 ? [] : parseDocument(DRAIN_ROW, drainRowSchema, row.value).addresses;
  }

  /**
   * Adds or removes an address. The operation is idempotent.
   * @returns false when every attempt conflicted with a concurrent change of the row.
   * @throws PlatformUnavailableError
   */
  async set(address: string, isDrained: boolean): Promise<boolean> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const row = await this.#table.read(DRAIN_ROW);
      const before = row.version === 0 ? [] : parseDocument(DRAIN_ROW, drainRowSchema, row.value).addresses;
      const rest = before.filter((other) => other !== address);
      const value = JSON.stringify({ addresses: isDrained ? [...rest, address] : rest });
      const result = await this.#table.transact([
        { kind: 'put', key: DRAIN_ROW, expectedVersion: row.version, value },
      ]);
      if (result.kind === 'committed') {
        return true;
      }
    }
    return false;
  }
}
