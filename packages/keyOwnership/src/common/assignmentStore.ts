import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { eraOf } from '@hickoryhoist/store/common/storeVersion.js';
import { decodeAssignment, encodeAssignment } from './assignmentRow.js';
import type { KeyAssignment } from './keyAssignment.js';

/** Table of the state that entry VMs share through the store: assigner, assignments and entry VMs. */
export const CONTROL_TABLE = 'hickoryhoist-control';
/** Key of the row that records the current assigner. */
export const ASSIGNER_ROW_KEY = 'assigner';
const ASSIGNMENT_PREFIX = 'assignment/';

/** An assignment together with the version of its row. */
export interface StoredAssignment {
  readonly assignment: KeyAssignment;
  /** 0 when the row does not exist. */
  readonly rowVersion: number;
}

/** Whether a row of the control table holds an assignment. */
export function isAssignmentRowKey(key: string): boolean {
  return key.startsWith(ASSIGNMENT_PREFIX);
}

/** The row that holds an assignment. */
export function toAssignmentRow(service: string, assignment: KeyAssignment, rowVersion: number): StoredRow {
  const key = ASSIGNMENT_PREFIX + service;
  return { table: CONTROL_TABLE, key, value: encodeAssignment(assignment), version: rowVersion };
}

/**
 * Merges newer rows into the known assignments. A row that cannot be decoded leaves the known assignment in place, and so
 * does one with a lower revision: the store has come back from an older copy, and servers may hold keys by what it lost.
 */
export function readAssignments(
  rows: ReadonlyMap<string, StoredRow>,
  known: ReadonlyMap<string, StoredAssignment>,
  logger: Logger,
): ReadonlyMap<string, StoredAssignment> {
  const assignments = new Map(known);
  for (const [key, row] of rows) {
    const service = key.slice(ASSIGNMENT_PREFIX.length);
    if (!isAssignmentRowKey(key) || !mayBeNewer(row, known.get(service))) {
      continue;
    }
    try {
      const stored = decodeAssignment(key, row.value);
      const newest = known.get(service)?.assignment;
      const isLost = newest !== undefined && newest.revision > stored.revision;
      assignments.set(service, { assignment: isLost ? newest : stored, rowVersion: row.version });
    } catch (error) {
      logger.log('error', 'assignment-unreadable', { row: key, reason: describeError(error) });
    }
  }
  return assignments;
}

/**
 * Whether a row may hold a newer assignment than the known one. After the store has come back from an older copy, the row
 * of another process may have the same version and an assignment that the store has lost.
 */
function mayBeNewer({ version }: StoredRow, known: StoredAssignment | undefined): boolean {
  const knownVersion = known?.rowVersion ?? 0;
  return version > knownVersion || (version === knownVersion && eraOf(version) > 0);
}

/**
 * Version of the row of an assignment in an era of the store, all rows of which have been read; 0 when the row does not exist.
 * The row of an assignment that is known from a former era only is one that the store has lost.
 */
export function presentRowVersion({ rowVersion }: StoredAssignment, era: number): number {
  return eraOf(rowVersion) < era ? 0 : rowVersion;
}

/**
 * Writes an assignment on condition that neither its row nor the assigner's row has changed.
 * @returns the new version of the row, or undefined on conflict.
 */
export async function writeAssignment(
  store: RowStore,
  service: string,
  assignment: KeyAssignment,
  rowVersion: number,
  assignerRowVersion: number,
): Promise<number | undefined> {
  const name = { table: CONTROL_TABLE, key: ASSIGNMENT_PREFIX + service };
  const result = await store.transactRows({
    expected: [
      { ...name, version: rowVersion },
      { table: CONTROL_TABLE, key: ASSIGNER_ROW_KEY, version: assignerRowVersion },
    ],
    puts: [{ ...name, value: encodeAssignment(assignment) }],
    deletes: [],
  });
  return result.kind === 'committed' ? result.version : undefined;
}

/** Reads the row of one assignment directly from the store. @throws PlatformUnavailableError */
export async function readAssignmentRow(store: RowStore, service: string): Promise<StoredRow | undefined> {
  const { rows } = await store.readTable(CONTROL_TABLE);
  return rows.find(({ key }) => key === ASSIGNMENT_PREFIX + service);
}
