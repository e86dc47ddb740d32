import { CONFIRMATION_TABLE } from '@hickoryhoist/keyownership/common/assignerRow.js';
import {
  ASSIGNER_ROW_KEY,
  CONTROL_TABLE,
  isAssignmentRowKey,
} from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { StoreCallSubject } from '@hickoryhoist/store/common/observedRowStore.js';

/** Why the store was called, for the metric of store calls. */
export type StoreCallCause =
  /** Following changes of a table, or reading its copy. */
  | 'configuration'
  | 'servers'
  | 'control'
  /** Finding out whether this process reaches the store. */
  | 'probe'
  /** Confirming the lease of the assigner. */
  | 'lease-confirmation'
  | 'election'
  | 'assignment'
  /** The row of an entry VM that starts, ends or has failed. */
  | 'entry-vm-row'
  | 'other';

/** Names of the tables that the operator and the servers write. */
export interface WatchedTableNames {
  readonly configurationTable: string;
  readonly serversTable: string;
}

/**
 * Tells why a call was made from its table and rows, so that no caller has to state it. Load pattern: hundreds of entry
 * VMs start, lose the assigner or lose the store at the same time; the largest cause shows what to share.
 */
export function storeCallCause(subject: StoreCallSubject, names: WatchedTableNames): StoreCallCause {
  switch (subject.kind) {
    case 'read':
    case 'wait':
    case 'look':
      return causeOfRead(subject.table, names);
    case 'write': {
      const { puts, deletes } = subject.transaction;
      const written = [...puts, ...deletes];
      if (written.some(({ table }) => table === CONFIRMATION_TABLE)) {
        return 'lease-confirmation';
      }
      const keys = written.flatMap(({ table, key }) => (table === CONTROL_TABLE ? [key] : []));
      if (keys.includes(ASSIGNER_ROW_KEY)) {
        return 'election';
      }
      if (keys.some(isAssignmentRowKey)) {
        return 'assignment';
      }
      return keys.length > 0 ? 'entry-vm-row' : 'other';
    }
  }
}

function causeOfRead(table: string, names: WatchedTableNames): StoreCallCause {
  switch (table) {
    case names.configurationTable:
      return 'configuration';
    case names.serversTable:
      return 'servers';
    case CONTROL_TABLE:
      return 'control';
    case CONFIRMATION_TABLE:
      return 'probe';
    default:
      return 'other';
  }
}
