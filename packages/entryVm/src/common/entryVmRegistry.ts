import { z } from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';

const ENTRY_VM_PREFIX = 'entry-vm/';
/** Pause after an attempt to write this entry VM's row. */
const RETRY_MILLISECONDS = 500;

const entryVmRecordSchema = z.object({
  ipAddress: z.string(),
  incarnation: z.string(),
  processorCores: z.number().positive(),
  linkMegabitsPerSecond: z.number().positive(),
});

/** Description of an entry VM, as stored in its row. */
export interface EntryVmRecord {
  readonly id: string;
  readonly ipAddress: string;
  readonly incarnation: string;
  /** Entry VMs with more cores take a larger share of the common work. */
  readonly processorCores: number;
  readonly linkMegabitsPerSecond: number;
}

/** Relative capacity of an entry VM for a role that sends messages to all others. */
export function broadcastCapacity({ processorCores, linkMegabitsPerSecond }: EntryVmRecord): number {
  return processorCores * linkMegabitsPerSecond;
}

/** Copy of the control table, which contains the rows of entry VMs. */
export interface EntryVmRows {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly isLoaded: boolean;
}

/** Keeps track of all entry VMs. Each writes a row to the store at startup and deletes it at shutdown. */
export class EntryVmRegistry {
  readonly #self: EntryVmRecord;
  readonly #store: RowStore;
  readonly #rows: EntryVmRows;
  readonly #logger: Logger;
  /** Sender's incarnation and time of the last message, by ID. */
  readonly #lastMessages = new Map<string, { readonly incarnation: string; readonly at: number }>();
  #isWriting = false;
  #isLeaving = false;
  #nextWriteAt = 0;
  /** This entry VM as described by its stored row. */
  #storedSelf: EntryVmRecord | undefined;
  #addressById: ReadonlyMap<string, string> = new Map();
  #records: readonly EntryVmRecord[];
  #otherAddresses: readonly string[] = [];

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

  /** Addresses of all entry VMs except this one. */
  otherAddresses(): readonly string[] {
    return this.#otherAddresses;
  }

  /** Reads the rows of the table. Must be called after each change. */
  update(): void {
    const records = [...this.#rows.rows.values()].flatMap((row) => this.#parseRow(row));
    this.#storedSelf = records.find(({ id }) => id === this.#self.id);
    const others = records.filter(({ id }) => id !== this.#self.id);
    this.#records = [...others, ...(this.#isLeaving ? [] : [this.#self])].sort((left, right) =>
      left.id.localeCompare(right.id),
    );
    this.#otherAddresses = others.map(({ ipAddress }) => ipAddress);
    this.#addressById = new Map(this.#records.map(({ id, ipAddress }) => [id, ipAddress]));
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

  recordMessage(id: string, incarnation: string): void {
    this.#lastMessages.set(id, { incarnation, at: performance.now() });
  }

  /** Whether a different incarnation of the entry VM has sent a message or written its row. */
  hasEnded(id: string, incarnation: string): boolean {
    const lastMessage = this.#lastMessages.get(id);
    if (lastMessage !== undefined && lastMessage.incarnation !== incarnation) {
      return true;
    }
    const record = this.entryVms().find((other) => other.id === id);
    return record !== undefined && record.incarnation !== incarnation;
  }

  /** Time of the last message from an entry VM, on the monotonic clock. */
  lastHeardAt(id: string): number {
    return this.#lastMessages.get(id)?.at ?? Number.NEGATIVE_INFINITY;
  }

  /** Writes this entry VM's row if it is missing or belongs to a previous incarnation. */
  tick(): void {
    const now = performance.now();
    if (this.#isWriting || this.#isLeaving || !this.#rows.isLoaded || now < this.#nextWriteAt) {
      return;
    }
    if (this.#storedSelf?.incarnation !== this.#self.incarnation) {
      void this.#writeOwnRow();
    }
  }

  /** Deletes this entry VM's row. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.update();
    try {
      await this.#store.transactRows({
        expected: [],
        puts: [],
        deletes: [{ table: CONTROL_TABLE, key: ENTRY_VM_PREFIX + this.#self.id }],
      });
    } catch (error) {
      this.#logger.log('warn', 'entry-vm-row-not-deleted', { reason: describeError(error) });
    }
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

  async #writeOwnRow(): Promise<void> {
    this.#isWriting = true;
    const { id, ...value } = this.#self;
    try {
      await this.#store.transactRows({
        expected: [],
        puts: [
          {
            table: CONTROL_TABLE,
            key: ENTRY_VM_PREFIX + id,
            value: JSON.stringify(value),
          },
        ],
        deletes: [],
      });
    } catch (error) {
      this.#logger.log('info', 'entry-vm-row-not-written', { reason: describeError(error) });
    } finally {
      this.#isWriting = false;
      this.#nextWriteAt = performance.now() + RETRY_MILLISECONDS;
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
