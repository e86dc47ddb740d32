import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from './assignmentStore.js';
import { decodeSettledTerm, type SettledTerm } from './settledTerm.js';

/**
 * Table to which the assigner writes the confirmations of its lease. Separate from the control table, so that the
 * writes wake no watcher of that table.
 */
export const CONFIRMATION_TABLE = 'hickoryhoist-confirmation';

const assignerSchema = z.object({
  term: z.int().min(1),
  id: z.string(),
  incarnation: z.string(),
  hasResigned: z.boolean(),
});

/** Record of the assigner in the control table. */
export type AssignerRow = z.output<typeof assignerSchema>;

/** @throws InvalidDocumentError */
export function decodeAssignerRow(value: string): AssignerRow {
  return parseDocument(ASSIGNER_ROW_KEY, assignerSchema, value);
}

/**
 * Writes the assigner's row by a compare-and-set. If the response is lost, reads the row to find out whether the
 * write was applied.
 * @returns the new version of the row, or undefined when another process has written it.
 * @throws PlatformUnavailableError
 */
export async function writeAssignerRow(
  store: RowStore,
  row: AssignerRow,
  version: number,
): Promise<number | undefined> {
  const name = { table: CONTROL_TABLE, key: ASSIGNER_ROW_KEY };
  const transaction = {
    expected: [{ ...name, version }],
    puts: [{ ...name, value: JSON.stringify(row) }],
    deletes: [],
  };
  try {
    const result = await store.transactRows(transaction);
    return result.kind === 'committed' ? result.version : undefined;
  } catch (error) {
    if (!(error instanceof PlatformUnavailableError) || !error.mayHaveApplied) {
      throw error;
    }
    const { rows } = await store.readTable(CONTROL_TABLE);
    const stored = rows.find(({ key }) => key === ASSIGNER_ROW_KEY);
    if (stored?.value === JSON.stringify(row)) {
      return stored.version;
    }
    throw error;
  }
}

/**
 * Reads the last settled term. Must be called once the store records this process, so that it takes no further
 * confirmation of another one.
 * @returns undefined, as if no term were settled, also if the store does not respond.
 */
export async function readSettledTerm(store: RowStore, logger: Logger): Promise<SettledTerm | undefined> {
  try {
    const { rows } = await store.readTable(CONFIRMATION_TABLE);
    return decodeSettledTerm(rows.find(({ key }) => key === ASSIGNER_ROW_KEY)?.value ?? '');
  } catch (error) {
    logger.log('info', 'settled-term-not-read', { reason: describeError(error) });
    return undefined;
  }
}
