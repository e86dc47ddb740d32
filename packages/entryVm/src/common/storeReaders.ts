import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { KnownTransactions } from '@hickoryhoist/store/common/knownTransactions.js';
import { eraOf } from '@hickoryhoist/store/common/storeVersion.js';
import type { FeedChanges, TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { toChangeMessages } from './changeMessages.js';
import type { EntryVmRecord } from './entryVmRegistry.js';
import { rankReaders } from './neighbourSelector.js';
import type { PeerMessage } from './peerMessage.js';

const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
/** Entry VMs that read the feeds and reach the store; the assigner, which always reads them, is one of them. */
const WORKING_READERS = 2;
/**
 * Time between two confirmations that the copies of a reader are current, in milliseconds, whichever reader they come
 * from. A response of the feed confirms a copy; without it nothing tells a quiet table from a dead connection.
 */
const CONFIRMATION_INTERVAL_MILLISECONDS = 500;
/** Readers take turns, so each waits for the interval of all of them. */
const WAIT_PERIOD_MILLISECONDS = WORKING_READERS * CONFIRMATION_INTERVAL_MILLISECONDS;
/** Minimum duration of a wait for changes, in milliseconds. */
const MIN_WAIT_MILLISECONDS = CONFIRMATION_INTERVAL_MILLISECONDS / 2;
/**
 * Age of the newest confirmation from which on another entry VM reads, in milliseconds. Between two turns that have to
 * be put right the readers are silent for one and a half intervals; the rest is for a slow response and a busy process.
 */
const MAX_CONFIRMATION_AGE_MILLISECONDS = 900;
/** Age of a reader's own confirmations from which on another entry VM takes its place: its longest wait, and as above. */
const MAX_READER_AGE_MILLISECONDS =
  MIN_WAIT_MILLISECONDS + WAIT_PERIOD_MILLISECONDS + HEARTBEAT_INTERVAL_MILLISECONDS + 150;
/** Age of the newest confirmation of the preferred reader from which on the other one waits for changes itself. */
const MAX_PREFERRED_AGE_MILLISECONDS = WAIT_PERIOD_MILLISECONDS + MIN_WAIT_MILLISECONDS;
/** Maximum time between two confirmations of a reader that confirms in turns; the others see that it reaches the store. */
const MAX_DEFERRAL_MILLISECONDS = WAIT_PERIOD_MILLISECONDS + HEARTBEAT_INTERVAL_MILLISECONDS;
/** Time between two responses about a table whose copy is confirmed by responses about another one, in milliseconds. */
const FOLLOWING_TABLE_PERIOD_MILLISECONDS = 5_000;
/** Time for which a copy may stay unconfirmed after a response about another table before its own table is read. */
const MAX_CONFIRMATION_LAG_MILLISECONDS = 150;
/** Time for which each table is confirmed by its own responses after others have not confirmed it, in milliseconds. */
const OWN_CONFIRMATION_MILLISECONDS = 5_000;
/** Time without a heartbeat after which a reader counts as stopped: three heartbeats. */
const READER_TIMEOUT_MILLISECONDS = 600;
/** Delay between the entry VMs of consecutive ranks that may take the place of a reader. */
const RANK_DELAY_MILLISECONDS = 100;
/** Maximum delay by rank of an entry VM that hears no reader at all: it may be cut off from the others. */
const MAX_DELAY_WITHOUT_READER_MILLISECONDS = 1_000;
/**
 * While this many readers are heard whose confirmations are too old, the store is probably down for all, and others
 * wait longer before they try: long enough for the usual outages to end.
 */
const MAX_FAILING_READERS = 8;
const DELAY_IN_OUTAGE_MILLISECONDS = 6_000;
/** A reader whose store calls have failed for longer does not count as alive. */
const MAX_STORE_SILENCE_MILLISECONDS = 300;
/** Reported times are capped, because receivers treat all longer times alike. */
const MAX_REPORTED_MILLISECONDS = 60_000;
export interface StoreReadersOptions {
  readonly selfId: string;
  /** All watched tables by name. Responses about the first confirmed one confirm the others as well. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  /** Whether changes of a table must be known in time; the readers confirm these tables to the others. */
  readonly isConfirmed: (table: string) => boolean;
  readonly entryVms: () => readonly EntryVmRecord[];
  /** Identifier of the assigner, if it is heard. It reads the feeds itself: relayed changes may be late. */
  readonly assignerId: () => string | undefined;
  /** Whether the entry VMs that started together with this one are known. */
  readonly isSettled: () => boolean;
  /** Time since the last response of the store while calls fail; otherwise 0. */
  readonly storeSilenceMilliseconds: () => number;
  /** Time for which this process has been able to reach the store; 0 during an outage. */
  readonly storeReachableMilliseconds: () => number;
  /** Whether changes of a row are relayed. Assignments are not; the assigner sends their deltas. */
  readonly isRelayed: (table: string, key: string) => boolean;
  readonly sendToOthers: (message: PeerMessage) => void;
  readonly logger: Logger;
}

/**
 * Limits the number of entry VMs that read the change feeds of the store. A few of them, the readers, relay the
 * changes to the others by datagram, so that the load on the store does not grow with the number of entry VMs.
 * Load pattern: hundreds of entry VMs lose their readers, or the store, at the same time. They take the readers'
 * place in the order of their ranks, and each stops when it hears one that is preferred to it.
 */
export class StoreReaders {
  readonly #options: StoreReadersOptions;
  /** Last heartbeat of a reader that reaches the store. */
  #lastReaderHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** When each reader was last known to be current: the time of the store's response, by its heartbeats. */
  readonly #confirmations = new Map<string, number>();
  /** Time of the last heartbeat of each reader, whether it reaches the store or not. */
  readonly #heardReaders = new Map<string, number>();
  /** Start of the longest period for which a live reader has reached the store without an outage. */
  #storeReachableSince = Number.POSITIVE_INFINITY;
  #nextHeartbeatAt = 0;
  /** When the other entry VMs became known. Heartbeats are expected from then on. */
  #settledAt: number | undefined;
  #isReader = false;
  /** The assigner that was heard last. Its confirmations count until they are too old, whether it is still heard or not. */
  #lastAssignerId: string | undefined;
  /** The newest confirmation of this process that was sent to the others. */
  #announcedConfirmation = Number.NEGATIVE_INFINITY;
  /** Entry VMs in order of preference as readers, and the set that was ordered. */
  #readerOrder: readonly string[] = [];
  #orderedEntryVms: readonly EntryVmRecord[] | undefined;
  readonly #transactions = new KnownTransactions();
  /** Version up to which the copy of each table is known to be complete. */
  readonly #completeUpTo = new Map<string, number>();
  /** Until when each table is confirmed by its own responses only. */
  #confirmsSeparatelyUntil = 0;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
    for (const table of options.tables.values()) {
      table.setSource('relay');
      table.onDidReadFeed((changes) => {
        this.#relay(changes);
      });
      table.onDidApply(({ rows, newestChange }) => {
        rows.forEach(({ version }) => {
          this.#transactions.record(version);
        });
        this.#transactions.record(newestChange);
      });
    }
  }

  /** Whether this process reads the feeds and relays them. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Whether this process reads the store itself or hears a reader, so that it knows which changes it has missed. */
  get hasContact(): boolean {
    return this.#isReader || this.#heardReaders.size > 0;
  }

  tick(now: number): void {
    const { isSettled, tables, assignerId } = this.#options;
    this.#lastAssignerId = assignerId() ?? this.#lastAssignerId;
    if (isSettled()) {
      this.#settledAt ??= now;
    }
    this.#orderEntryVms();
    this.#setReader(this.#settledAt !== undefined && this.#shouldRead(now, this.#settledAt), now);
    for (const table of tables.values()) {
      table.setSource(this.#isReader ? 'feed' : 'relay');
    }
    if (this.#isReader) {
      pollTablesOfFormerEras([...tables.values()]);
      this.#readUnconfirmedTables(now);
    }
    const confirmedAt = this.#confirmedAt();
    // A confirmation is announced at once, or more entry VMs begin to read.
    if (this.#isReader && (now >= this.#nextHeartbeatAt || confirmedAt > this.#announcedConfirmation)) {
      this.#nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS;
      this.#announcedConfirmation = confirmedAt;
      this.#sendHeartbeats(now);
    }
  }

  /**
   * Duration of a wait for changes of a confirmed table, in milliseconds. The preferred reader keeps a steady period; the
   * other one reads at its turn without waiting, since changes are relayed to it; a reader without another confirms alone.
   */
  confirmationWaitMilliseconds(name: string, now: number): number {
    if (this.#preferredConfirmation(now) !== undefined) {
      return 0;
    }
    return name !== this.#leadingTable() && now >= this.#confirmsSeparatelyUntil
      ? FOLLOWING_TABLE_PERIOD_MILLISECONDS
      : this.#confirmationPeriodMilliseconds(now);
  }

  /**
   * Time for which a call about a table is not due, in milliseconds, because the preferred reader waits for its changes.
   * The other reader confirms its copies in the middle between two confirmations of the preferred one, and later while
   * changes let that one confirm more often.
   */
  deferralMilliseconds(name: string, now: number): number {
    const preferredAt = this.#preferredConfirmation(now);
    const table = this.#options.tables.get(name);
    if (name !== this.#leadingTable() && this.#isStoreSilent()) {
      return HEARTBEAT_INTERVAL_MILLISECONDS;
    }
    if (preferredAt === undefined || table === undefined) {
      return 0;
    }
    if (!this.#options.isConfirmed(name)) {
      return HEARTBEAT_INTERVAL_MILLISECONDS;
    }
    const confirmedAt = this.#confirmedAtOf(name, table);
    const hasHadTurn = confirmedAt > preferredAt + MIN_WAIT_MILLISECONDS;
    const turnAt =
      preferredAt + (hasHadTurn ? MAX_PREFERRED_AGE_MILLISECONDS : CONFIRMATION_INTERVAL_MILLISECONDS);
    const dueAt = Math.min(turnAt, confirmedAt + MAX_DEFERRAL_MILLISECONDS);
    if (name === this.#leadingTable()) {
      return Math.max(0, dueAt - now);
    }
    // The response about the leading table comes first.
    const ownDueAt = table.confirmedAt + FOLLOWING_TABLE_PERIOD_MILLISECONDS;
    return Math.max(0, Math.min(dueAt + MAX_CONFIRMATION_LAG_MILLISECONDS, ownDueAt) - now);
  }

  /** Time for which a live reader has reached the store without an outage; 0 if there is no live reader. */
  readerStoreReachableMilliseconds(now: number): number {
    const isReaderAlive = now - this.#lastReaderHeartbeatAt < READER_TIMEOUT_MILLISECONDS;
    return isReaderAlive ? Math.max(0, now - this.#storeReachableSince) : 0;
  }

  /** Records the version of a transaction that has changed none of the confirmed tables. */
  recordTransaction(version: number): void {
    this.#transactions.record(version);
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
        this.#heardReaders.set(message.id, now);
        this.#recordConfirmation(message.id, now - message.unconfirmed);
        if (
          message.storeSilence < MAX_STORE_SILENCE_MILLISECONDS &&
          message.unconfirmed < MAX_READER_AGE_MILLISECONDS
        ) {
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
      case 'server-leaving':
      case 'crash-evidence':
      case 'slot-check':
        return false;
    }
  }

  #setReader(isReader: boolean, now: number): void {
    if (isReader === this.#isReader) {
      return;
    }
    this.#isReader = isReader;
    this.#confirmsSeparatelyUntil = now + OWN_CONFIRMATION_MILLISECONDS;
    const { selfId, assignerId, logger } = this.#options;
    logger.log('info', isReader ? 'store-reader-started' : 'store-reader-stopped', {
      rank: this.#readerOrder.indexOf(selfId),
      assigner: assignerId(),
      heard: formatAges(this.#heardReaders, now),
      confirmed: formatAges(this.#confirmations, now),
    });
  }

  /** Orders the entry VMs again if their set has changed. */
  #orderEntryVms(): void {
    const current = this.#options.entryVms();
    if (current !== this.#orderedEntryVms) {
      this.#orderedEntryVms = current;
      this.#readerOrder = rankReaders(current).map(({ id }) => id);
      for (const id of this.#confirmations.keys()) {
        if (!this.#readerOrder.includes(id)) {
          this.#confirmations.delete(id);
        }
      }
    }
  }

  #shouldRead(now: number, settledAt: number): boolean {
    const { selfId, assignerId } = this.#options;
    const assigner = assignerId();
    if (assigner === selfId) {
      return true;
    }
    const others = this.#readerOrder.filter((id) => id !== assigner);
    // A process that is shutting down is not in the order any more.
    const rank = others.includes(selfId) ? others.indexOf(selfId) : others.length;
    if (rank < (assigner === undefined ? WORKING_READERS : WORKING_READERS - 1)) {
      return true;
    }
    return this.#readersOverdueMilliseconds(now, settledAt) > this.#replacementDelayMilliseconds(rank, now);
  }

  /**
   * Time for which the readers that are preferred to this process have not been current, or not as many as there have to
   * be. Load pattern: the store falls silent to all readers at the same moment, and to some of the entry VMs that take
   * their place.
   */
  #readersOverdueMilliseconds(now: number, settledAt: number): number {
    const confirmedAt = [...this.#confirmations]
      .filter(([id]) => this.#isPreferred(id))
      .map(([, at]) => at)
      .sort((left, right) => right - left);
    const ageOf = (index: number): number => now - Math.max(settledAt, confirmedAt[index] ?? settledAt);
    return Math.max(
      ageOf(0) - MAX_CONFIRMATION_AGE_MILLISECONDS,
      ageOf(WORKING_READERS - 1) - MAX_READER_AGE_MILLISECONDS,
    );
  }

  #replacementDelayMilliseconds(rank: number, now: number): number {
    for (const [id, heardAt] of this.#heardReaders) {
      if (now - heardAt > READER_TIMEOUT_MILLISECONDS) {
        this.#heardReaders.delete(id);
      }
    }
    const rankDelay = rank * RANK_DELAY_MILLISECONDS;
    if (this.#heardReaders.size === 0) {
      return Math.min(rankDelay, MAX_DELAY_WITHOUT_READER_MILLISECONDS);
    }
    // A process that reads already is not heard by itself and goes on.
    const failing = [...this.#heardReaders.keys()].filter(
      (id) => now - (this.#confirmations.get(id) ?? 0) > MAX_READER_AGE_MILLISECONDS,
    );
    const isCrowded = !this.#isReader && failing.length >= MAX_FAILING_READERS;
    return isCrowded ? DELAY_IN_OUTAGE_MILLISECONDS + rankDelay : rankDelay;
  }

  #isPreferred(readerId: string): boolean {
    const { selfId } = this.#options;
    return (
      readerId === this.#lastAssignerId ||
      this.#readerOrder.indexOf(readerId) < this.#readerOrder.indexOf(selfId)
    );
  }

  /**
   * Whether this process chooses its turn by that of another reader. Of two readers exactly one yields, or both would
   * move by the same time and confirm at the same moment.
   */
  #yieldsTo(readerId: string): boolean {
    return this.#options.selfId !== this.#lastAssignerId && this.#isPreferred(readerId);
  }

  /** When the readers to which this process yields were last known to be current; undefined if none of them is. */
  #preferredConfirmation(now: number): number | undefined {
    const newest = Math.max(
      ...[...this.#confirmations].flatMap(([id, confirmedAt]) => (this.#yieldsTo(id) ? [confirmedAt] : [])),
    );
    return now - newest < MAX_PREFERRED_AGE_MILLISECONDS ? newest : undefined;
  }

  #recordConfirmation(readerId: string, confirmedAt: number): void {
    const known = this.#confirmations.get(readerId) ?? Number.NEGATIVE_INFINITY;
    this.#confirmations.set(readerId, Math.max(known, confirmedAt));
  }

  /** Interval of the confirmations of a reader that does not confirm in turns. */
  #confirmationPeriodMilliseconds(now: number): number {
    const hasOther = [...this.#confirmations].some(
      ([id, confirmedAt]) => !this.#yieldsTo(id) && now - confirmedAt < MAX_READER_AGE_MILLISECONDS,
    );
    return hasOther ? WAIT_PERIOD_MILLISECONDS : CONFIRMATION_INTERVAL_MILLISECONDS;
  }

  /** Whether calls fail. The leading table is enough to find out when they succeed again. */
  #isStoreSilent(): boolean {
    return this.#options.storeSilenceMilliseconds() > MAX_STORE_SILENCE_MILLISECONDS;
  }

  /** Name of the first confirmed table. */
  #leadingTable(): string | undefined {
    return [...this.#options.tables.keys()].find((name) => this.#options.isConfirmed(name));
  }

  /** Up to when the copies of this process are known to be current. */
  #confirmedAt(): number {
    const { tables, isConfirmed } = this.#options;
    return Math.min(
      ...[...tables].flatMap(([name, table]) =>
        isConfirmed(name) ? [this.#confirmedAtOf(name, table)] : [],
      ),
    );
  }

  /**
   * Up to when the copy of a table is known to be current: the time of the store's last response about it, or about
   * another table if that stated a version up to which all transactions are known. No response confirms a table that
   * has changed meanwhile, so a dead connection shows as soon as it hides a change.
   */
  #confirmedAtOf(name: string, table: TableWatcher): number {
    const { confirmedAt, version } = table;
    if (version === undefined) {
      return confirmedAt;
    }
    const completeUpTo = this.#transactions.lastAfter(Math.max(version, this.#completeUpTo.get(name) ?? 0));
    this.#completeUpTo.set(name, completeUpTo);
    const confirming = [...this.#options.tables.values()].filter(
      (other) => other.confirmedVersion <= completeUpTo,
    );
    return Math.max(confirmedAt, ...confirming.map((other) => other.confirmedAt));
  }

  /** Reads the tables that responses about another one have not confirmed in time. */
  #readUnconfirmedTables(now: number): void {
    if (
      this.#preferredConfirmation(now) !== undefined ||
      now < this.#confirmsSeparatelyUntil ||
      this.#isStoreSilent()
    ) {
      return;
    }
    const { tables, isConfirmed } = this.#options;
    const maxAge = this.#confirmationPeriodMilliseconds(now) + MAX_CONFIRMATION_LAG_MILLISECONDS;
    for (const [name, table] of tables) {
      const isFollowing = isConfirmed(name) && name !== this.#leadingTable();
      if (isFollowing && now - this.#confirmedAtOf(name, table) > maxAge) {
        this.#confirmsSeparatelyUntil = now + OWN_CONFIRMATION_MILLISECONDS;
        table.poll();
      }
    }
  }

  #sendHeartbeats(now: number): void {
    const { selfId, storeSilenceMilliseconds, storeReachableMilliseconds, sendToOthers } = this.#options;
    sendToOthers({
      type: 'reader-heartbeat',
      id: selfId,
      storeSilence: Math.round(storeSilenceMilliseconds()),
      storeReachable: Math.round(Math.min(storeReachableMilliseconds(), MAX_REPORTED_MILLISECONDS)),
      unconfirmed: Math.round(Math.min(now - this.#confirmedAt(), MAX_REPORTED_MILLISECONDS)),
      versions: this.versions(),
    });
  }

  #relay(changes: FeedChanges): void {
    const { isRelayed, sendToOthers } = this.#options;
    if (this.#isReader) {
      toChangeMessages(changes, isRelayed).forEach(sendToOthers);
    }
  }
}

/**
 * Reads the feeds of the tables whose copy is of a former era. Load pattern: the store comes back from an older copy while
 * waits for changes are pending, which may never return.
 */
function pollTablesOfFormerEras(tables: readonly TableWatcher[]): void {
  const eras = tables.map(({ version }) => (version === undefined ? 0 : eraOf(version)));
  const newest = Math.max(...eras);
  tables
    .filter((_table, index) => (eras[index] ?? 0) < newest)
    .forEach((table) => {
      table.poll();
    });
}

/** Times since the given moments by identifier, in milliseconds; for logs. */
function formatAges(times: ReadonlyMap<string, number>, now: number): string {
  return [...times].map(([id, at]) => `${id}:${Math.round(now - at).toString()}`).join(',');
}
