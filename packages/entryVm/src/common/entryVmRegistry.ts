import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { compareText } from '@hickoryhoist/base/common/compareText.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { Candidate, RecordOfCandidate } from '@hickoryhoist/keyownership/common/candidate.js';
import { CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { StoreReturn } from '@hickoryhoist/store/common/storeReturn.js';
import { DecodedRows } from './decodedRows.js';
import { HeardProcesses } from './heardProcesses.js';

const ENTRY_VM_PREFIX = 'entry-vm/';
/** Pause after a failed attempt to write this entry VM's row. */
const RETRY_MILLISECONDS = 500;
/** Time after which a row that was written but has not shown up is written again; allows for a slow store. */
const REWRITE_MILLISECONDS = 2_000;
/**
 * Time after writing this entry VM's row until the table is read for those that started at the same time; the VMs
 * of a deployment start within 300 ms of each other.
 */
const SETTLING_MILLISECONDS = 300;
/** Interval between the reads of the table until this entry VM's row shows up, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 300;
/** Number of other entry VMs from which on they are asked for the rows instead of the store. */
const MIN_NEIGHBOURS = 3;
/** A process acts on what it knows when its own row has not shown up for this long, in milliseconds. */
const MAX_SETTLING_MILLISECONDS = 3_000;
/** A process that sends no message for this long may have ended; several times the interval of heartbeats. */
const SILENCE_MILLISECONDS = 600;

const entryVmRecordSchema = z.object({
  ipAddress: z.string(),
  incarnation: z.string(),
  /** Absent in rows of entry VMs that run an older version. */
  availabilityZone: z.string().default(''),
  processorCores: z.number().positive(),
  linkMegabitsPerSecond: z.number().positive(),
  checksSlots: z.boolean().optional(),
});

/** Description of an entry VM, as stored in its row. */
export interface EntryVmRecord {
  readonly id: string;
  readonly ipAddress: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Entry VMs with more cores take a larger share of the common work. */
  readonly processorCores: number;
  readonly linkMegabitsPerSecond: number;
  /** Whether it sends and answers `slot-check`. Absent in rows of entry VMs that run an older version. */
  readonly checksSlots?: boolean | undefined;
}

/** Relative capacity of an entry VM for a role that sends messages to all others. */
export function broadcastCapacity({ processorCores, linkMegabitsPerSecond }: EntryVmRecord): number {
  return processorCores * linkMegabitsPerSecond;
}

/** Copy of the control table, which contains the rows of entry VMs. */
export interface EntryVmRows {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly isLoaded: boolean;
  /** Reads the changes of the table from the store without waiting. */
  poll(): void;
  /**
   * Reads missing rows from another entry VM, or from the store if none has them.
   * @param attempt number of attempts before this one.
   */
  readMissing(attempt: number): void;
}

/** Keeps track of all entry VMs. Each writes a row to the store at startup and deletes it at shutdown. */
export class EntryVmRegistry {
  readonly #self: EntryVmRecord;
  readonly #store: RowStore;
  readonly #rows: EntryVmRows;
  readonly #logger: Logger;
  readonly #heard = new HeardProcesses();
  /** Version of this entry VM's row as this process wrote it last; undefined if it has not. */
  #writtenVersion: number | undefined;
  #isWriting = false;
  #isLeaving = false;
  #nextWriteAt = 0;
  /** When to read the table for this entry VM's row, which has been written; undefined if it has not. */
  #pollAt: number | undefined;
  #pollCount = 0;
  /** When this entry VM's row was written; undefined if it has not been written. */
  #writtenAt: number | undefined;
  readonly #startedAt = performance.now();
  /** This entry VM as described by its stored row. */
  #storedSelf: EntryVmRecord | undefined;
  /** Whether the table contained a row of an earlier incarnation of this entry VM, and so those of the others as well. */
  #hasRunBefore = false;
  readonly #storeReturn = new StoreReturn();
  /** Whether entry VMs are kept that may write their row again. */
  #keepsMissing = false;
  readonly #decodedRows = new DecodedRows((row) => this.#parseRow(row));
  #appliedRecords: readonly EntryVmRecord[] | undefined;
  #addressById: ReadonlyMap<string, string> = new Map();
  #records: readonly EntryVmRecord[];
  #otherAddresses: readonly string[] = [];
  #zoneByAddress: ReadonlyMap<string, string> = new Map();

  constructor(self: EntryVmRecord, store: RowStore, rows: EntryVmRows, logger: Logger) {
    this.#self = self;
    this.#store = store;
    this.#rows = rows;
    this.#logger = logger;
    this.#records = [self];
  }

  /** All known entry VMs, including this one unless it is shutting down. */
  entryVms(): readonly EntryVmRecord[] {
    return this.#records;
  }

  /**
   * Whether the entry VMs that started together with this one are known. Load pattern: all entry VMs start at the
   * same time. At the first start of a deployment none of them finds another in the table at first; after all have
   * lost power the table still contains them.
   */
  get isSettled(): boolean {
    const now = performance.now();
    const haveOthersStarted = this.#writtenAt !== undefined && now - this.#writtenAt > SETTLING_MILLISECONDS;
    return (
      this.#hasRunBefore ||
      (this.#storedSelf?.incarnation === this.#self.incarnation && haveOthersStarted) ||
      now - this.#startedAt > MAX_SETTLING_MILLISECONDS
    );
  }

  /** Addresses of all entry VMs except this one. */
  otherAddresses(): readonly string[] {
    return this.#otherAddresses;
  }

  /** Reads the rows of the table. Must be called after each change. */
  update(): void {
    this.#storeReturn.observe(this.#rows.rows);
    const records = this.#decodedRows.read(this.#rows.rows);
    if (records === this.#appliedRecords && !this.#isLeaving && !this.#keepsMissing) {
      return;
    }
    this.#appliedRecords = records;
    this.#storedSelf = records.find(({ id }) => id === this.#self.id);
    this.#hasRunBefore ||=
      this.#storedSelf !== undefined && this.#storedSelf.incarnation !== this.#self.incarnation;
    const present = records.filter(({ id }) => id !== this.#self.id);
    const missing = this.#storeReturn.isRecent ? this.#missingFrom(present) : [];
    this.#keepsMissing = missing.length > 0;
    const others = [...present, ...missing];
    this.#records = [...others, ...(this.#isLeaving ? [] : [this.#self])].sort((left, right) =>
      compareText(left.id, right.id),
    );
    this.#otherAddresses = others.map(({ ipAddress }) => ipAddress);
    this.#zoneByAddress = new Map(
      this.#records.map(({ ipAddress, availabilityZone }) => [ipAddress, availabilityZone]),
    );
    this.#addressById = new Map(this.#records.map(({ id, ipAddress }) => [id, ipAddress]));
  }

  /** Other entry VMs that are known and not among the given ones. */
  #missingFrom(present: readonly EntryVmRecord[]): readonly EntryVmRecord[] {
    const ids = new Set(present.map(({ id }) => id));
    return this.#records.filter(({ id }) => id !== this.#self.id && !ids.has(id));
  }

  /** Availability zone of the entry VM at an address, if it is known. */
  availabilityZoneAt(ipAddress: string): string | undefined {
    return this.#zoneByAddress.get(ipAddress);
  }

  ipAddressOf(id: string): string | undefined {
    const known = this.#addressById.get(id);
    if (known !== undefined) {
      return known;
    }
    // The row of an entry VM that has just started may not have been read yet, but its ID may end with `@ADDRESS`.
    const separator = id.lastIndexOf('@');
    return separator === -1 ? undefined : id.slice(separator + 1);
  }

  /** @returns whether it is the first message of this incarnation. */
  recordMessage(id: string, incarnation: string): boolean {
    return this.#heard.record(id, incarnation);
  }

  /**
   * Whether a process that is named by a record in the store has ended: a later one of the same entry VM has sent a
   * message or written its row. What is older than the record says nothing about the process, and a row may also be one
   * that the store wrote late, so a process that is still heard has not ended.
   */
  hasEnded({ id, incarnation }: Candidate, { version, knownSince }: RecordOfCandidate): boolean {
    if (id === this.#self.id) {
      return incarnation !== this.#self.incarnation;
    }
    if (this.#heard.hasSuccessor(id, incarnation, knownSince)) {
      return true;
    }
    const rowVersion = this.#rows.rows.get(ENTRY_VM_PREFIX + id)?.version ?? 0;
    const record = this.#records.find((other) => other.id === id);
    return (
      record !== undefined &&
      record.incarnation !== incarnation &&
      rowVersion > version &&
      performance.now() - this.#heard.lastHeardAt(id, incarnation) > SILENCE_MILLISECONDS
    );
  }

  /** Time of the last message from an entry VM, on the monotonic clock. */
  lastHeardAt(id: string): number {
    return this.#heard.lastHeardAt(id);
  }

  /** Writes this entry VM's row if it is missing or belongs to a previous incarnation. */
  tick(): void {
    const now = performance.now();
    if (this.#keepsMissing && !this.#storeReturn.isRecent) {
      this.update();
    }
    const isStored = this.#storedSelf?.incarnation === this.#self.incarnation;
    if (isStored || this.#isWriting || this.#isLeaving || !this.#rows.isLoaded) {
      return;
    }
    if (this.#pollAt !== undefined && now >= this.#pollAt) {
      this.#pollAt = now + POLL_INTERVAL_MILLISECONDS;
      this.#readOwnRow();
    }
    if (now >= this.#nextWriteAt) {
      void this.#writeOwnRow();
    }
  }

  /** Deletes this entry VM's row. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.update();
    const name = { table: CONTROL_TABLE, key: ENTRY_VM_PREFIX + this.#self.id };
    try {
      // The store may perform the write after the next process of this entry VM has written its row.
      const result = await this.#store.transactRows({
        expected: [{ ...name, version: this.#ownRowVersion(name.key) }],
        puts: [],
        deletes: [name],
      });
      if (result.kind === 'conflict') {
        this.#logger.log('info', 'entry-vm-row-not-deleted', { reason: 'it is not the one of this process' });
      }
    } catch (error) {
      this.#logger.log('warn', 'entry-vm-row-not-deleted', { reason: describeError(error) });
    }
  }

  /** The newest known version of the row as this process wrote it. */
  #ownRowVersion(key: string): number {
    const stored = this.#rows.rows.get(key)?.version ?? 0;
    if (this.#writtenVersion === undefined) {
      return stored;
    }
    // The versions of all rows change when the store comes back from an older copy.
    const isOwn = this.#storedSelf?.incarnation === this.#self.incarnation;
    return Math.max(this.#writtenVersion, isOwn ? stored : 0);
  }

  /** Deletes the row of an entry VM that has failed. */
  async remove(id: string): Promise<void> {
    const row = this.#rows.rows.get(ENTRY_VM_PREFIX + id);
    if (row === undefined) {
      return;
    }
    const name = { table: CONTROL_TABLE, key: row.key };
    try {
      await this.#store.transactRows({
        expected: [{ ...name, version: row.version }],
        puts: [],
        deletes: [name],
      });
      this.#logger.log('info', 'entry-vm-removed', { id });
    } catch (error) {
      this.#logger.log('debug', 'entry-vm-not-removed', { id, reason: describeError(error) });
    }
  }

  /**
   * Reads the rows of those that started at the same time. The first ones read the store, and the others read the copies
   * of those.
   */
  #readOwnRow(): void {
    if (this.#otherAddresses.length < MIN_NEIGHBOURS) {
      this.#rows.poll();
    } else {
      this.#rows.readMissing(this.#pollCount);
      this.#pollCount += 1;
    }
  }

  async #writeOwnRow(): Promise<void> {
    this.#isWriting = true;
    const { id, ...value } = this.#self;
    const name = { table: CONTROL_TABLE, key: ENTRY_VM_PREFIX + id };
    try {
      // Without the condition, the store may perform a write of the former process late, over the row of this one.
      const result = await this.#store.transactRows({
        expected: [{ ...name, version: this.#rows.rows.get(name.key)?.version ?? 0 }],
        puts: [{ ...name, value: JSON.stringify({ ...value, checksSlots: true }) }],
        deletes: [],
      });
      if (result.kind === 'conflict') {
        this.#nextWriteAt = performance.now() + POLL_INTERVAL_MILLISECONDS;
        this.#logger.log('info', 'entry-vm-row-not-written', { reason: 'the copy of the table is old' });
        this.#rows.poll();
        return;
      }
      this.#writtenVersion = result.version;
      this.#writtenAt = performance.now();
      this.#pollAt = this.#writtenAt + SETTLING_MILLISECONDS;
      this.#nextWriteAt = performance.now() + REWRITE_MILLISECONDS;
    } catch (error) {
      this.#nextWriteAt = performance.now() + RETRY_MILLISECONDS;
      this.#logger.log('info', 'entry-vm-row-not-written', { reason: describeError(error) });
    } finally {
      this.#isWriting = false;
    }
  }

  #parseRow(row: StoredRow): EntryVmRecord[] {
    if (!row.key.startsWith(ENTRY_VM_PREFIX)) {
      return [];
    }
    try {
      return [
        {
          id: row.key.slice(ENTRY_VM_PREFIX.length),
          ...parseDocument(row.key, entryVmRecordSchema, row.value),
        },
      ];
    } catch (error) {
      this.#logger.log('error', 'entry-vm-row-unreadable', { row: row.key, reason: describeError(error) });
      return [];
    }
  }
}
