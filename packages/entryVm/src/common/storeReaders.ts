import type { FeedChanges, TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { broadcastCapacity, type EntryVmRecord } from './entryVmRegistry.js';
import type { PeerMessage } from './peerMessage.js';
import { splitIntoBatches } from './changeBatch.js';
import { rankByRendezvous } from './rendezvous.js';

/** The second reader covers for the first while its connection to the store is unresponsive. */
const READER_COUNT = 2;
const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
/** Without a heartbeat of any reader for this long, an entry VM reads the feeds itself: three heartbeats. */
const READER_TIMEOUT_MILLISECONDS = 600;
/** A reader whose store calls have failed for longer does not count as alive. */
const MAX_STORE_SILENCE_MILLISECONDS = 300;
/** Reported times are capped, because receivers treat all longer times alike. */
const MAX_REPORTED_MILLISECONDS = 60_000;
/** Limit for the row data in a message, so that its datagram crosses a slow link within milliseconds. */
const MAX_MESSAGE_BYTES = 4_000;
/** Changes that need more messages are not relayed; each entry VM reads them from the store. */
const MAX_MESSAGES = 3;

export interface StoreReadersOptions {
  readonly selfId: string;
  /** All watched tables by name. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  readonly entryVms: () => readonly EntryVmRecord[];
  /** Whether this process must read the feeds itself. The assigner must: relayed changes may be late. */
  readonly mustReadStore: () => boolean;
  /** Time since the last response of the store while calls fail; otherwise 0. */
  readonly storeSilenceMilliseconds: () => number;
  /** Time for which this process has been able to reach the store; 0 during an outage. */
  readonly storeReachableMilliseconds: () => number;
  /** Whether changes of a row are relayed. Assignments are not; the assigner sends their deltas. */
  readonly isRelayed: (table: string, key: string) => boolean;
  readonly sendToOthers: (message: PeerMessage) => void;
}

/**
 * Limits the number of entry VMs that read the change feeds of the store. A few of them, the readers, relay the
 * changes to the others by datagram, so that the load on the store does not grow with the number of entry VMs.
 * An entry VM that receives no heartbeat of a reader that reaches the store reads the feeds itself.
 */
export class StoreReaders {
  readonly #options: StoreReadersOptions;
  #lastReaderHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** Start of the longest period for which a live reader has reached the store without an outage. */
  #storeReachableSince = Number.POSITIVE_INFINITY;
  #nextHeartbeatAt = 0;
  #isReader = true;
  #isSelected = true;
  #selectedFrom: readonly EntryVmRecord[] | undefined;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
    for (const table of options.tables.values()) {
      table.onDidReadFeed((changes) => {
        this.#relay(changes);
      });
    }
  }

  /** Whether this process reads the feeds and relays them. */
  get isReader(): boolean {
    return this.#isReader;
  }

  tick(now: number): void {
    const { mustReadStore, tables } = this.#options;
    this.#select();
    this.#isReader = mustReadStore() || this.#isSelected;
    const isReaderAlive = now - this.#lastReaderHeartbeatAt < READER_TIMEOUT_MILLISECONDS;
    for (const table of tables.values()) {
      table.setSource(!this.#isReader && isReaderAlive ? 'relay' : 'feed');
    }
    if (this.#isReader && now >= this.#nextHeartbeatAt) {
      this.#nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS;
      this.#sendHeartbeats();
    }
  }

  /** Time for which a live reader has reached the store without an outage; 0 if there is no live reader. */
  readerStoreReachableMilliseconds(now: number): number {
    const isReaderAlive = now - this.#lastReaderHeartbeatAt < READER_TIMEOUT_MILLISECONDS;
    return isReaderAlive ? Math.max(0, now - this.#storeReachableSince) : 0;
  }

  /** Version of the newest known change of each table. */
  versions(): Record<string, number> {
    return Object.fromEntries([...this.#options.tables].map(([name, table]) => [name, table.newestChange]));
  }

  /** Reads from the feeds if this process stays behind the versions that another entry VM has seen. */
  expectVersions(versions: Readonly<Record<string, number>>): void {
    for (const [name, version] of Object.entries(versions)) {
      this.#options.tables.get(name)?.expectVersion(version);
    }
  }

  /** Handles messages of readers. @returns false for a message of another kind. */
  receive(message: PeerMessage, now: number): boolean {
    const { tables } = this.#options;
    switch (message.type) {
      case 'reader-heartbeat':
        if (message.storeSilence < MAX_STORE_SILENCE_MILLISECONDS) {
          const since = now - message.storeReachable;
          const hadNoLiveReader = now - this.#lastReaderHeartbeatAt > READER_TIMEOUT_MILLISECONDS;
          this.#storeReachableSince = hadNoLiveReader ? since : Math.min(since, this.#storeReachableSince);
          this.#lastReaderHeartbeatAt = now;
        }
        this.expectVersions(message.versions);
        return true;
      case 'table-changes': {
        const { table, after, version, newestChange, rows, deletedKeys } = message;
        tables.get(table)?.applyRelayedChanges(after, {
          kind: 'changes',
          rows: rows.map((row) => ({ ...row, table })),
          deletedKeys,
          newestChange,
          version,
        });
        return true;
      }
      case 'ask':
      case 'waiting':
      case 'granted':
      case 'refused':
      case 'finish':
      case 'heartbeat':
      case 'report':
      case 'assignment-change':
        return false;
    }
  }

  /** Selects the readers again if the set of entry VMs has changed. */
  #select(): void {
    const { selfId, entryVms } = this.#options;
    const current = entryVms();
    if (current !== this.#selectedFrom) {
      this.#selectedFrom = current;
      const candidates = current.map((entryVm) => ({ id: entryVm.id, weight: broadcastCapacity(entryVm) }));
      this.#isSelected = rankByRendezvous('store', candidates).slice(0, READER_COUNT).includes(selfId);
    }
  }

  #sendHeartbeats(): void {
    const { storeSilenceMilliseconds, storeReachableMilliseconds, sendToOthers } = this.#options;
    sendToOthers({
      type: 'reader-heartbeat',
      storeSilence: Math.round(storeSilenceMilliseconds()),
      storeReachable: Math.round(Math.min(storeReachableMilliseconds(), MAX_REPORTED_MILLISECONDS)),
      versions: this.versions(),
    });
  }

  #relay({ table, after, changes }: FeedChanges): void {
    if (!this.#isReader) {
      return;
    }
    const { isRelayed, sendToOthers } = this.#options;
    const relayedRows = changes.rows.filter(({ key }) => isRelayed(table, key));
    const batches = splitIntoBatches(after, { ...changes, rows: relayedRows }, MAX_MESSAGE_BYTES);
    if (batches.length > MAX_MESSAGES) {
      return;
    }
    for (const { after: batchAfter, changes: batch } of batches) {
      sendToOthers({
        type: 'table-changes',
        table,
        after: batchAfter,
        version: batch.version,
        newestChange: batch.newestChange,
        rows: batch.rows.map(({ key, value, version }) => ({ key, value, version })),
        deletedKeys: [...batch.deletedKeys],
      });
    }
  }
}
