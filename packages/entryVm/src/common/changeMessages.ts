import type { FeedChanges } from '@hickoryhoist/store/common/tableWatcher.js';
import { splitIntoBatches } from './changeBatch.js';
import type { PeerMessage } from './peerMessage.js';

/** Limit for the row data in a message, so that its datagram crosses a slow link within milliseconds. */
const MAX_MESSAGE_BYTES = 4_000;
/** Changes that need more messages are not relayed; each entry VM reads them from a neighbour. */
const MAX_MESSAGES = 3;

/**
 * Messages that relay the changes of a table to other entry VMs; none if there would be too many of them.
 * @param isRelayed whether the changes of a row are relayed.
 */
export function toChangeMessages(
  { table, after, changes }: FeedChanges,
  isRelayed: (table: string, key: string) => boolean,
): readonly PeerMessage[] {
  const rows = changes.rows.filter(({ key }) => isRelayed(table, key));
  const batches = splitIntoBatches(after, { ...changes, rows }, MAX_MESSAGE_BYTES);
  if (batches.length > MAX_MESSAGES) {
    return [];
  }
  return batches.map(({ after: batchAfter, changes: batch }) => ({
    type: 'table-changes',
    table,
    after: batchAfter,
    version: batch.version,
    newestChange: batch.newestChange,
    rows: batch.rows.map(({ key, value, version }) => ({ key, value, version })),
    deletedKeys: [...batch.deletedKeys],
  }));
}
