import type { FeedChanges, TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { broadcastFitness, type RosterEntry } from './entryVmRoster.js';
import type { PeerMessage } from './peerMessage.js';
import { divideChanges } from './changeParts.js';
import { rankByRendezvous } from './rendezvous.js';

/** Entry VMs that follow the store for all; a second one covers the first while its connection is silent. */
const READERS = 2;
/** Time between heartbeats of a reader, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 200;
/** Silence of every reader after which an entry VM follows the store itself, in milliseconds: three heartbeats. */
const READER_SILENCE_MILLISECONDS = 600;
/** Time without an answer of the store after which a reader is no longer relied on, in milliseconds. */
const STORE_SILENCE_MILLISECONDS = 300;
/** Longest time that is told, in milliseconds; beyond, it makes no difference. */
const LONGEST_TOLD_MILLISECONDS = 60_000;
/** Bytes of text of the rows in one message, so that its datagram gets through a slow link in some milliseconds. */
const MESSAGE_BYTES = 4_000;
/** Messages to which changes are divided at most; more is read from the store by each entry VM. */
const MOST_MESSAGES = 3;

/** Surroundings of the readers. */
export interface StoreReadersOptions {
  readonly selfId: string;
  /** All watched tables by name. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  readonly entryVms: () => readonly RosterEntry[];
  /** Whether this process needs the store's own word on everything: the assigner does. */
  readonly mustRead: () => boolean;
  readonly storeSilence: () => number;
  /** Milliseconds for which this process has reached the store. */
  readonly storeReachable: () => number;
  /** Whether a row is passed on; others are told of in another way. */
  readonly isPassedOn: (table: string, key: string) => boolean;
  readonly sendToOthers: (message: PeerMessage) => void;
}

/**
 * Divides the work of following the store. A few entry VMs, the readers, follow its feeds and pass changes on by
 * datagram, so that the calls to the store do not grow with the number of entry VMs. Whoever hears no reader that
 * reaches the store follows it itself.
 */
export class StoreReaders {
  readonly #options: StoreReadersOptions;
  #heardReaderAt = Number.NEGATIVE_INFINITY;
  /** Since when a reader that was heard a short time ago has reached the store. */
  #storeReachableSince = Number.POSITIVE_INFINITY;
  #nextHeartbeatAt = 0;
  #isReader = true;
  #isChosen = true;
  #chosenAmong: readonly RosterEntry[] | undefined;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
    for (const table of options.tables.values()) {
      table.onDidReadFeed((followed) => {
        this.#passOn(followed);
      });
    }
  }

  /** Whether this process follows the store for others. */
  get isReader(): boolean {
    return this.#isReader;
  }

  tick(now: number): void {
    const { mustRead, tables } = this.#options;
    this.#choose();
    this.#isReader = mustRead() || this.#isChosen;
    const isServed = now - this.#heardReaderAt < READER_SILENCE_MILLISECONDS;
    for (const table of tables.values()) {
      table.setSource(!this.#isReader && isServed ? 'relay' : 'feed');
    }
    if (this.#isReader && now >= this.#nextHeartbeatAt) {
      this.#nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS;
      this.#sendHeartbeats();
    }
  }

  /** Milliseconds for which a reader has reached the store, 0 when no such reader is heard. */
  heardStoreReachableMilliseconds(now: number): number {
    const isHeard = now - this.#heardReaderAt < READER_SILENCE_MILLISECONDS;
    return isHeard ? Math.max(0, now - this.#storeReachableSince) : 0;
  }

  /** Version of the newest change that was seen in each table. */
  versions(): Record<string, number> {
    return Object.fromEntries([...this.#options.tables].map(([name, table]) => [name, table.newestChange]));
  }

  /** Takes notice of the changes that another process has seen. */
  expectVersions(versions: Readonly<Record<string, number>>): void {
    for (const [name, version] of Object.entries(versions)) {
      this.#options.tables.get(name)?.expectVersion(version);
    }
  }

  /** Handles a message of a reader. @returns whether it was one. */
  receive(message: PeerMessage, now: number): boolean {
    const { tables } = this.#options;
    switch (message.type) {
      case 'reader-heartbeat':
        if (message.storeSilence < STORE_SILENCE_MILLISECONDS) {
          const since = now - message.storeReachable;
          const isOthersOld = now - this.#heardReaderAt > READER_SILENCE_MILLISECONDS;
          this.#storeReachableSince = isOthersOld ? since : Math.min(since, this.#storeReachableSince);
          this.#heardReaderAt = now;
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

  /** Ranks the entry VMs, but only when their set has changed. */
  #choose(): void {
    const { selfId, entryVms } = this.#options;
    const current = entryVms();
    if (current !== this.#chosenAmong) {
      this.#chosenAmong = current;
      const candidates = current.map((entryVm) => ({ id: entryVm.id, weight: broadcastFitness(entryVm) }));
      this.#isChosen = rankByRendezvous('store', candidates).slice(0, READERS).includes(selfId);
    }
  }

  #sendHeartbeats(): void {
    const { storeSilence, storeReachable, sendToOthers } = this.#options;
    sendToOthers({
      type: 'reader-heartbeat',
      storeSilence: Math.round(storeSilence()),
      storeReachable: Math.round(Math.min(storeReachable(), LONGEST_TOLD_MILLISECONDS)),
      versions: this.versions(),
    });
  }

  #passOn({ table, after, changes }: FeedChanges): void {
    if (!this.#isReader) {
      return;
    }
    const { isPassedOn, sendToOthers } = this.#options;
    const passedOn = changes.rows.filter(({ key }) => isPassedOn(table, key));
    const parts = divideChanges(after, { ...changes, rows: passedOn }, MESSAGE_BYTES);
    if (parts.length > MOST_MESSAGES) {
      return;
    }
    for (const { after: partAfter, changes: part } of parts) {
      sendToOthers({
        type: 'table-changes',
        table,
        after: partAfter,
        version: part.version,
        newestChange: part.newestChange,
        rows: part.rows.map(({ key, value, version }) => ({ key, value, version })),
        deletedKeys: [...part.deletedKeys],
      });
    }
  }
}
