import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore, StoredRow, TableChanges } from './rowStore.js';

const FIRST_RETRY_MILLISECONDS = 150;
const LONGEST_RETRY_MILLISECONDS = 800;
/** Share of a pause that is drawn at random, so that entry VMs do not call in step. */
const JITTER = 0.3;

/** Time for a change that others have seen to arrive here as well, in milliseconds. */
const ARRIVAL_MILLISECONDS = 300;

/** How often a table is asked for changes. */
export interface TableWatcherOptions {
  readonly table: string;
  /** Longest wait of one call, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after a change, so that changes in quick succession share one call; in milliseconds. */
  readonly pauseMilliseconds: number;
}

/** Where changes come from: the store's feed, or another process that follows it and passes them on. */
export type ChangeSource = 'feed' | 'relay';

/** Changes of a table as they were read from the feed after a version. */
export interface FeedChanges {
  readonly table: string;
  readonly after: number;
  readonly changes: Extract<TableChanges, { kind: 'changes' }>;
}

/**
 * Keeps a copy of a table: reads it once, then follows its feed, or takes changes that another process passes on.
 * When the feed has lost its history, or after an outage, the copy may be behind; it never goes back to an older
 * version of a row.
 */
export class TableWatcher extends DisposableBase {
  readonly #store: RowStore;
  readonly #options: TableWatcherOptions;
  readonly #logger: Logger;
  readonly #rows = new Map<string, StoredRow>();
  readonly #onDidChange = new Emitter<void>();
  readonly #onDidFollow = new Emitter<FeedChanges>();
  #source: ChangeSource = 'feed';
  /** Whether the feed is to be asked once, whatever the source. */
  #isRefreshDue = false;
  #isRefreshing = false;
  /** Whether the whole table is to be read once more. */
  #isReloadDue = false;
  #wake: () => void = () => undefined;
  #version: number | undefined;
  #loads = 0;
  #retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  #newestChange = 0;
  #wait: AbortController | undefined;
  /** Newest version that any other process has seen. */
  #expectedVersion = 0;
  #behindSince: number | undefined;

  /** Fires after the copy has changed, and after the first read. */
  readonly onDidChange = this.#onDidChange.event;
  /** Fires when the feed has brought changes here, so that they can be passed on. */
  readonly onDidReadFeed = this.#onDidFollow.event;

  constructor(store: RowStore, options: TableWatcherOptions, logger: Logger) {
    super();
    this.#store = store;
    this.#options = options;
    this.#logger = logger;
    let isStopped = false;
    this.register(toDisposable(() => (isStopped = true)));
    void this.#run(() => isStopped);
  }

  /** Rows by key. */
  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#rows;
  }

  /** Whether the table has been read at least once. */
  get isLoaded(): boolean {
    return this.#version !== undefined;
  }

  /** How often the whole table has been read. */
  get fullReadCount(): number {
    return this.#loads;
  }

  /** Version of the newest change that was seen in this table. */
  get newestChange(): number {
    return this.#newestChange;
  }

  /**
   * Takes notice of a change that another process has seen. When it does not arrive here, the connection that is
   * waited on has gone silent, and the wait begins anew on another one.
   */
  expectVersion(version: number): void {
    this.#expectedVersion = Math.max(this.#expectedVersion, version);
    if (this.#version === undefined || this.#expectedVersion <= this.#version) {
      this.#behindSince = undefined;
      return;
    }
    const now = performance.now();
    this.#behindSince ??= now;
    if (now - this.#behindSince > ARRIVAL_MILLISECONDS && !this.#isRefreshing) {
      this.#behindSince = undefined;
      this.#logger.log('info', 'table-behind', {
        table: this.#options.table,
        version: this.#version,
        expected: this.#expectedVersion,
      });
      this.#refresh();
    }
  }

  /** Gives up the current wait and asks the feed anew. */
  restart(): void {
    this.#isRefreshDue = true;
    this.#wait?.abort();
    this.#wake();
  }

  /** Reads the whole table once more. */
  reload(): void {
    this.#isReloadDue = true;
    this.restart();
  }

  /** Chooses where changes come from. A wait that has begun goes on until it ends by itself. */
  setSource(source: ChangeSource): void {
    if (this.#source !== source) {
      this.#source = source;
      this.#wake();
    }
  }

  /** Takes changes that another process has followed. Those that leave a gap make the feed be asked. */
  applyRelayedChanges(after: number, changes: FeedChanges['changes']): void {
    if (this.#version === undefined || changes.version <= this.#version) {
      return;
    }
    if (after > this.#version) {
      this.#refresh();
      return;
    }
    this.#apply(changes);
  }

  /**
   * Asks the feed, unless that is under way. A call that is given up early shows nothing: neither what it would have
   * brought nor that the store does not answer.
   */
  #refresh(): void {
    if (!this.#isRefreshing) {
      this.restart();
    }
  }

  async #run(isStopped: () => boolean): Promise<void> {
    while (!isStopped()) {
      const startedAt = performance.now();
      try {
        await this.#advance();
        this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
      } catch (error) {
        if (this.#wait?.signal.aborted === true) {
          this.#wait = undefined;
          continue;
        }
        this.#logger.log('debug', 'table-read-failed', {
          table: this.#options.table,
          reason: describeError(error),
        });
        // The pause spares a store that refuses quickly; the time of a call without an answer counts as part of it.
        const pause = Math.max(
          FIRST_RETRY_MILLISECONDS,
          this.#retryMilliseconds - (performance.now() - startedAt),
        );
        await delay(pause * (1 + JITTER * Math.random()));
        this.#retryMilliseconds = Math.min(2 * this.#retryMilliseconds, LONGEST_RETRY_MILLISECONDS);
      }
    }
  }

  async #advance(): Promise<void> {
    const { table, waitMilliseconds, pauseMilliseconds } = this.#options;
    if (this.#version === undefined || this.#isReloadDue) {
      this.#isReloadDue = false;
      await this.#load();
      return;
    }
    if (this.#source === 'relay' && !this.#isRefreshDue) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      return;
    }
    const wait = this.#isRefreshDue ? 0 : waitMilliseconds;
    this.#isRefreshDue = false;
    const after = this.#version;
    this.#wait = new AbortController();
    this.#isRefreshing = wait === 0;
    let changes: TableChanges;
    try {
      changes = await this.#store.waitForChanges(table, after, wait, this.#wait.signal);
    } finally {
      this.#isRefreshing = false;
    }
    this.#wait = undefined;
    switch (changes.kind) {
      case 'history-lost':
        this.#logger.log('info', 'table-history-lost', { table, version: this.#version });
        await this.#load();
        return;
      case 'changes': {
        const isChanged = this.#apply(changes);
        if (isChanged) {
          this.#onDidFollow.fire({ table, after, changes });
          await delay(pauseMilliseconds);
        }
      }
    }
  }

  #apply({ version, newestChange, deletedKeys, rows }: FeedChanges['changes']): boolean {
    if (version < (this.#version ?? 0)) {
      // The other source was faster, and may know of rows that were written again since.
      return false;
    }
    this.#version = Math.max(this.#version ?? 0, version);
    this.#newestChange = Math.max(this.#newestChange, newestChange);
    if (rows.length === 0 && deletedKeys.length === 0) {
      return false;
    }
    for (const key of deletedKeys) {
      this.#rows.delete(key);
    }
    rows.forEach((row) => {
      this.#put(row);
    });
    this.#onDidChange.fire();
    return true;
  }

  async #load(): Promise<void> {
    const snapshot = await this.#store.readTable(this.#options.table);
    const keys = new Set(snapshot.rows.map(({ key }) => key));
    for (const key of [...this.#rows.keys()].filter((known) => !keys.has(known))) {
      this.#rows.delete(key);
    }
    snapshot.rows.forEach((row) => {
      this.#put(row);
    });
    this.#version = Math.max(this.#version ?? 0, snapshot.version);
    this.#loads += 1;
    this.#onDidChange.fire();
  }

  #put(row: StoredRow): void {
    if (row.version >= (this.#rows.get(row.key)?.version ?? 0)) {
      this.#rows.set(row.key, row);
      this.#newestChange = Math.max(this.#newestChange, row.version);
    }
  }
}
