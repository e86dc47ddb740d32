import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { FirstCopyReader } from './firstCopyReader.js';
import type { FirstCopySource, NeighbourResult, NeighbourTables } from './neighbourTables.js';
import type { RowStore, StoredRow, TableChanges } from './rowStore.js';
import { type ListedChanges, TableCopy } from './tableCopy.js';

const INITIAL_BACKOFF_MILLISECONDS = 150;
const MAX_BACKOFF_MILLISECONDS = 800;
/** Maximum random addition to a backoff, as a fraction of it. Keeps the retries of entry VMs from synchronizing. */
const JITTER_RATIO = 0.3;

/** Interval at which a process that starts checks where to read the first copy of a table, in milliseconds. */
const FIRST_COPY_POLL_MILLISECONDS = 50;
/** Default of `maxLagMilliseconds`. */
export const DEFAULT_MAX_LAG_MILLISECONDS = 300;

/** Number of changes from which on a response may end before the newest version of the store. */
const MAX_CHANGES_OF_WHOLE_RESPONSE = 100;

/** Which table to watch, and how often to read its feed. */
export interface TableWatcherOptions {
  readonly table: string;
  /** Maximum time that the next call waits for changes, in milliseconds. */
  readonly waitMilliseconds: () => number;
  /**
   * Time for which the next call is not due, in milliseconds, because another process reads the feed and relays it. Asked
   * again when it has passed.
   */
  readonly deferralMilliseconds?: () => number;
  /** Delay after a change before the next call, so that one call returns several quick changes; in milliseconds. */
  readonly pauseMilliseconds: number;
  /**
   * Whether a changed row matters to other processes. `onDidReadFeed` leaves out the others while the feed is read
   * without interruption; after one, intermediate changes of a row may have been missed, and all rows are reported.
   */
  readonly isRelevantChange?: (before: StoredRow | undefined, after: StoredRow) => boolean;
  /**
   * Maximum delay after changes of which none is relevant, in milliseconds; by default `pauseMilliseconds`. The next
   * call waits only for the rest of the time that it would have waited, so that the copy is confirmed as often as that of
   * a table that does not change.
   */
  readonly idlePauseMilliseconds?: number;
  /** Time for which the copy may lag behind a version that another process has seen, in milliseconds. */
  readonly maxLagMilliseconds?: () => number;
  /** Another source of missing changes than the store, which is read when it has none. */
  readonly neighbours?: NeighbourTables;
  /** Where the first copy of the table is read; by default in the store. */
  readonly firstCopySource?: () => FirstCopySource;
}

/** Source of changes: the store's change feed, or another process that reads the feed and relays it. */
export type ChangeSource = 'feed' | 'relay';

/** How the newest state of a copy arrived. */
export type CopySource = 'store' | ChangeSource | 'neighbour';

/** Changes that the feed returned for a given version. */
export interface FeedChanges {
  readonly table: string;
  /** The changes are all of the table after this version. */
  readonly after: number;
  readonly changes: ListedChanges;
}

/**
 * Maintains a copy of a table: reads the whole table once, then applies the changes of the feed or those that another
 * process relays. The copy may be stale during an outage or until a table whose history was lost is read again, but a
 * row never returns to an older version. A store that has come back from an older copy of itself has newer versions with
 * older content; who needs the content that it lost keeps it elsewhere.
 */
export class TableWatcher extends DisposableBase {
  readonly #store: RowStore;
  readonly #options: TableWatcherOptions;
  readonly #logger: Logger;
  readonly #copy = new TableCopy();
  readonly #onDidChange = new Emitter<void>();
  readonly #onDidReadFeed = new Emitter<FeedChanges>();
  readonly #onDidApply = new Emitter<ListedChanges>();
  #source: ChangeSource = 'feed';
  /** Whether the feed is to be read once without waiting for changes, whatever the source is. */
  #isPollDue = false;
  #isPolling = false;
  /** Whether all changes since the last response of the feed were read as they happened. */
  #isFeedContinuous = false;
  /** Whether missing changes are to be read from a neighbour. */
  #isCatchUpDue = false;
  #firstCopyReader: FirstCopyReader | undefined;
  /** Attempts to read missing changes since the copy fell behind. */
  #catchUpAttempts = 0;
  /** Whether the whole table is to be read again. */
  #isReloadDue = false;
  #wakeUp: () => void = () => undefined;
  #fullReadCount = 0;
  #backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
  /**
   * Version from which on the table did not change up to `#version`. Versions count the changes of all tables, so a
   * process that knows this version has missed nothing although its own is lower.
   */
  #unchangedSince = 0;
  #waitAbort: AbortController | undefined;
  /** Highest version that another process is known to have seen. */
  #expectedVersion = 0;
  #behindSince: number | undefined;
  #lastSource: CopySource | undefined;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #confirmedVersion = Number.POSITIVE_INFINITY;
  /** Duration of the next wait after a pause that followed a change, in milliseconds. */
  #remainingWait: number | undefined;

  /** Fires after the copy has changed and after each read of the whole table. */
  readonly onDidChange = this.#onDidChange.event;
  /** Fires after changes were applied, whatever their source. */
  readonly onDidApply = this.#onDidApply.event;
  /** Fires after changes from the feed were applied, so that they can be relayed. */
  readonly onDidReadFeed = this.#onDidReadFeed.event;

  constructor(store: RowStore, options: TableWatcherOptions, logger: Logger) {
    super();
    this.#store = store;
    this.#options = options;
    this.#logger = logger;
    let isStopped = false;
    this.register(toDisposable(() => (isStopped = true)));
    // The options refer to other components of the owner, which is still being constructed.
    queueMicrotask(() => void this.#run(() => isStopped));
  }

  /** Rows by key. */
  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#copy.rows;
  }

  /** Whether the table has been read at least once. */
  get isLoaded(): boolean {
    return this.version !== undefined;
  }

  /** Whether the copy contains all changes that other processes are known to have seen. */
  get isCurrent(): boolean {
    return this.version !== undefined && this.#expectedVersion <= this.version;
  }

  /** Number of completed reads of the whole table from the store. */
  get fullReadCount(): number {
    return this.#fullReadCount;
  }

  /** Version up to which all changes are known; undefined until the table has been read. */
  get version(): number | undefined {
    return this.#copy.version;
  }

  /**
   * Time of the last response of the store about this table, on the runtime's monotonic clock. Up to then the copy
   * contains all changes. A pending wait confirms nothing: its connection may be dead.
   */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * Newest version of the store, which counts the changes of all tables, by the response at `confirmedAt`; infinite if
   * the response does not tell.
   */
  get confirmedVersion(): number {
    return this.#confirmedVersion;
  }

  /** How the newest version of this copy arrived; for logs. */
  get lastSource(): CopySource | undefined {
    return this.#lastSource;
  }

  /** Version of the newest known change of this table. */
  get newestChange(): number {
    return this.#copy.newestChange;
  }

  /**
   * Records a version that another process has seen. If the copy keeps lagging behind it, the connection of the pending
   * call is presumed dead: the call is aborted, and the feed is read over another connection.
   */
  expectVersion(version: number): void {
    this.#expectedVersion = Math.max(this.#expectedVersion, version);
    if (this.version === undefined || this.#expectedVersion <= this.version) {
      this.#behindSince = undefined;
      this.#catchUpAttempts = 0;
      return;
    }
    const now = performance.now();
    this.#behindSince ??= now;
    const maxLagMilliseconds = this.#options.maxLagMilliseconds?.() ?? DEFAULT_MAX_LAG_MILLISECONDS;
    if (now - this.#behindSince > maxLagMilliseconds && !this.#isPolling) {
      this.#behindSince = undefined;
      this.#logger.log('info', 'table-behind', {
        table: this.#options.table,
        version: this.version,
        expected: this.#expectedVersion,
      });
      this.#catchUp();
    }
  }

  /** Aborts the pending call and reads the feed without waiting for changes. */
  restart(): void {
    this.#isPollDue = true;
    this.#waitAbort?.abort();
    this.#wakeUp();
  }

  /** Reads the feed without waiting for changes, unless such a call is pending. */
  poll(): void {
    if (!this.#isPolling) {
      this.restart();
    }
  }

  /** Reads the whole table again. */
  reload(): void {
    this.#isReloadDue = true;
    this.restart();
  }

  /**
   * Reads rows that are missing here although the version of the table is current.
   * @param attempt number of attempts before this one.
   */
  readMissing(attempt: number): void {
    this.#catchUpAttempts = attempt;
    this.#catchUp();
  }

  /**
   * Sets the source of changes. A pending call to the feed is not aborted. The first call to the feed does not wait for
   * changes, so that the copy is confirmed at once, unless it was confirmed just before.
   */
  setSource(source: ChangeSource): void {
    if (this.#source !== source) {
      this.#source = source;
      this.#isPollDue ||=
        source === 'feed' &&
        this.version !== undefined &&
        performance.now() - this.#confirmedAt > this.#options.waitMilliseconds();
      this.#wakeUp();
    }
  }

  /** Applies changes that another process relays. If changes before them are missing here, reads the feed instead. */
  applyRelayedChanges(after: number, changes: FeedChanges['changes']): void {
    if (this.version === undefined || changes.version <= this.version) {
      return;
    }
    if (after > this.version) {
      this.expectVersion(changes.newestChange);
      this.#catchUp();
      return;
    }
    this.#apply(changes, 'relay');
  }

  /**
   * Changes of this copy after a version, for another process; all rows for version 0, after which no process can have
   * a row that has been deleted.
   * @returns undefined if deletions since then are no longer known.
   */
  changesAfter(after: number): ListedChanges | undefined {
    return this.#copy.changesAfter(after);
  }

  /**
   * Reads missing changes, unless such a call is pending. Aborting that call would lose both the changes it returns
   * and the evidence that the store does not respond. A process that reads the feed asks its neighbours as well when
   * the store does not serve it.
   */
  #catchUp(): void {
    const readsFeed = this.#source === 'feed' && this.#isFeedContinuous;
    if (readsFeed || this.#options.neighbours === undefined) {
      this.poll();
    } else if (!this.#isPolling) {
      this.#isCatchUpDue = true;
      this.#waitAbort?.abort();
      this.#wakeUp();
    }
  }

  async #run(isStopped: () => boolean): Promise<void> {
    while (!isStopped()) {
      const startedAt = performance.now();
      try {
        await this.#advance();
        this.#backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
      } catch (error) {
        this.#isFeedContinuous = false;
        if (this.#waitAbort?.signal.aborted === true) {
          this.#waitAbort = undefined;
          continue;
        }
        this.#logger.log('debug', 'table-read-failed', {
          table: this.#options.table,
          reason: describeError(error),
        });
        // The backoff limits the load on a store that fails fast. The time spent on a call that timed out counts
        // towards it.
        const delayMilliseconds = Math.max(
          INITIAL_BACKOFF_MILLISECONDS,
          this.#backoffMilliseconds - (performance.now() - startedAt),
        );
        await delay(delayMilliseconds * (1 + JITTER_RATIO * Math.random()));
        this.#backoffMilliseconds = Math.min(2 * this.#backoffMilliseconds, MAX_BACKOFF_MILLISECONDS);
      }
    }
  }

  async #advance(): Promise<void> {
    const { table, waitMilliseconds, deferralMilliseconds, firstCopySource } = this.#options;
    if (this.#isReloadDue) {
      await this.#reloadTable();
      return;
    }
    if (this.version === undefined) {
      await this.#readFirstCopy(firstCopySource?.() ?? 'store');
      return;
    }
    if (this.#isCatchUpDue) {
      this.#isCatchUpDue = false;
      await this.#readNeighbour(this.version);
      return;
    }
    if (this.#source === 'relay' && !this.#isPollDue) {
      this.#isFeedContinuous = false;
      await new Promise<void>((resolve) => {
        this.#wakeUp = resolve;
      });
      return;
    }
    const deferral = this.#isPollDue ? 0 : (deferralMilliseconds?.() ?? 0);
    if (deferral > 0) {
      await this.#pause(deferral);
      return;
    }
    const wait = this.#isPollDue ? 0 : (this.#remainingWait ?? waitMilliseconds());
    this.#isPollDue = false;
    this.#remainingWait = undefined;
    const after = this.version;
    this.#waitAbort = new AbortController();
    this.#isPolling = wait === 0;
    let changes: TableChanges;
    try {
      changes = await this.#store.waitForChanges(table, after, wait, this.#waitAbort.signal);
    } finally {
      this.#isPolling = false;
    }
    this.#waitAbort = undefined;
    switch (changes.kind) {
      case 'history-lost':
        this.#logger.log('info', 'table-history-lost', { table, version: this.version });
        await this.#readTable();
        return;
      case 'changes': {
        const changeCount = changes.rows.length + changes.deletedKeys.length;
        this.#confirm(changeCount < MAX_CHANGES_OF_WHOLE_RESPONSE ? changes.version : undefined);
        const newRelevantRows = this.#relevantRows(changes.rows, after);
        const relevantRows = this.#isFeedContinuous ? newRelevantRows : changes.rows;
        this.#isFeedContinuous = true;
        const unchangedSince = Math.min(this.#unchangedSince, after);
        const isChanged = this.#apply(changes, 'feed');
        if (isChanged) {
          this.#onDidReadFeed.fire({
            table,
            after: unchangedSince,
            changes: { ...changes, rows: relevantRows },
          });
          const isRelevant = newRelevantRows.length > 0 || changes.deletedKeys.length > 0;
          await this.#pauseAfterChange(isRelevant);
        }
      }
    }
  }

  /**
   * Leaves out changed rows that do not matter to a process that has all changes up to a version. A row that is newer
   * here was relayed by another process, and a process that missed it there must get it from this one.
   */
  #relevantRows(rows: readonly StoredRow[], after: number): readonly StoredRow[] {
    const { isRelevantChange } = this.#options;
    return isRelevantChange === undefined
      ? rows
      : rows.filter((row) => {
          const before = this.rows.get(row.key);
          return (before !== undefined && before.version > after) || isRelevantChange(before, row);
        });
  }

  async #readFirstCopy(source: FirstCopySource): Promise<void> {
    const { table, neighbours } = this.#options;
    if (source === 'undecided') {
      await this.#pause(FIRST_COPY_POLL_MILLISECONDS);
      return;
    }
    if (source === 'store' || neighbours === undefined) {
      await this.#reloadTable();
      return;
    }
    this.#firstCopyReader ??= new FirstCopyReader(table, neighbours);
    const step = await this.#firstCopyReader.readNext();
    switch (step.kind) {
      case 'changes':
        if (!this.#apply(step, 'neighbour')) {
          this.#onDidChange.fire();
        }
        return;
      case 'read-store':
        // If that fails, the next neighbour is asked: the store may turn only this process away.
        await this.#readTable();
        return;
      case 'retry':
        await this.#pause(step.afterMilliseconds);
    }
  }

  /**
   * Pauses after a change, and shortens the next wait accordingly, so that the copy is confirmed as often as that of a
   * table that does not change. Load pattern: hundreds of servers repeat their announcements, so that no wait lasts.
   */
  async #pauseAfterChange(isRelevant: boolean): Promise<void> {
    const { waitMilliseconds, pauseMilliseconds, idlePauseMilliseconds = pauseMilliseconds } = this.#options;
    const wait = waitMilliseconds();
    const pause = isRelevant ? pauseMilliseconds : Math.min(wait, idlePauseMilliseconds);
    await (isRelevant ? delay(pause) : this.#pause(pause));
    this.#remainingWait = Math.max(0, wait - pause);
  }

  /** Waits, until something is to be done at once. */
  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.#wakeUp = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Reads missing changes from another process, or sees to it that they are read from the store. */
  async #readNeighbour(after: number): Promise<void> {
    const attempt = this.#catchUpAttempts;
    this.#catchUpAttempts += 1;
    const result = await this.#readChangesOfNeighbour(after, attempt);
    switch (result.kind) {
      case 'changes':
        this.#apply(result, 'neighbour');
        return;
      case 'unavailable':
        // The next neighbour is asked at once, at last the store: each that does not respond takes its time limit.
        this.#isCatchUpDue = true;
        return;
      case 'incomplete':
        await this.#readWholeTableOfNeighbour(attempt);
        return;
      case 'use-store':
        this.#isPollDue = true;
    }
  }

  /** Reads all rows of a neighbour. Rows here that are older than its copy and missing in it have been deleted. */
  async #readWholeTableOfNeighbour(attempt: number): Promise<void> {
    const result = await this.#readChangesOfNeighbour(0, attempt);
    if (result.kind === 'changes') {
      const keys = new Set(result.rows.map(({ key }) => key));
      const missing = [...this.rows.values()].filter(
        ({ key, version }) => version <= result.version && !keys.has(key),
      );
      this.#apply({ ...result, deletedKeys: missing.map(({ key }) => key) }, 'neighbour');
    }
  }

  async #readChangesOfNeighbour(after: number, attempt: number): Promise<NeighbourResult> {
    const { table, neighbours } = this.#options;
    this.#isPolling = true;
    try {
      return (await neighbours?.readChanges(table, after, attempt)) ?? { kind: 'use-store' };
    } finally {
      this.#isPolling = false;
    }
  }

  #apply(changes: ListedChanges, source: CopySource): boolean {
    if (changes.version < (this.version ?? 0)) {
      return false;
    }
    const isChanged = this.#copy.apply(changes);
    this.#lastSource = source;
    this.#recordUnchanged(source, changes.version, changes.newestChange);
    if (isChanged) {
      this.#onDidApply.fire(changes);
      this.#onDidChange.fire();
    }
    return isChanged;
  }

  #confirm(storeVersion: number | undefined): void {
    this.#confirmedAt = performance.now();
    this.#confirmedVersion = storeVersion ?? Number.POSITIVE_INFINITY;
  }

  /** Reads the whole table. A reload requested while the read is in progress leads to another read. */
  async #reloadTable(): Promise<void> {
    this.#isReloadDue = false;
    // The whole table is as new as the changes would be.
    this.#isPollDue = false;
    try {
      await this.#readTable();
    } catch (error) {
      this.#isReloadDue = true;
      throw error;
    }
  }

  async #readTable(): Promise<void> {
    const snapshot = await this.#store.readTable(this.#options.table);
    this.#confirm(snapshot.version);
    if (!this.#copy.applySnapshot(snapshot)) {
      this.#isReloadDue = true;
      return;
    }
    this.#lastSource = 'store';
    this.#unchangedSince = this.version ?? 0;
    this.#fullReadCount += 1;
    this.#onDidChange.fire();
  }

  #recordUnchanged(source: CopySource, version: number, newestChange: number): void {
    switch (source) {
      case 'feed':
      case 'relay':
        // Only the feed states the versions of deletions.
        this.#unchangedSince = Math.max(this.#unchangedSince, newestChange);
        return;
      case 'neighbour':
      case 'store':
        this.#unchangedSince = Math.max(this.#unchangedSince, version);
    }
  }
}
