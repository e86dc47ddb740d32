import { z } from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { RowStore, StoredRow } from '@hickoryhoist/store/common/rowStore.js';

const ENTRY_VM_PREFIX = 'entry-vm/';
/** Time between attempts to write this entry VM's row, in milliseconds. */
const RETRY_MILLISECONDS = 500;

const entryVmSchema = z.object({
  ipAddress: z.string(),
  incarnation: z.string(),
  processorCores: z.number().positive(),
  linkMegabitsPerSecond: z.number().positive(),
});

/** An entry VM as its row describes it. */
export interface RosterEntry {
  readonly id: string;
  readonly ipAddress: string;
  readonly incarnation: string;
  /** Its processor in cores; larger entry VMs get more of the shared duties. */
  readonly processorCores: number;
  readonly linkMegabitsPerSecond: number;
}

/** How fit an entry VM is, relative to others, for a duty that sends messages to all of them. */
export function broadcastFitness({ processorCores, linkMegabitsPerSecond }: RosterEntry): number {
  return processorCores * linkMegabitsPerSecond;
}

/** The rows that a roster reads. */
export interface RosterRows {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly isLoaded: boolean;
}

/** All entry VMs, each with a row of its own in the store, written at its start and deleted when it leaves. */
export class EntryVmRoster {
  readonly #self: RosterEntry;
  readonly #store: RowStore;
  readonly #rows: RosterRows;
  readonly #logger: Logger;
  readonly #heard = new Map<string, { readonly incarnation: string; readonly at: number }>();
  #isWriting = false;
  #isLeaving = false;
  #nextWriteAt = 0;
  #ownRow: RosterEntry | undefined;
  #addresses: ReadonlyMap<string, string> = new Map();
  #entries: readonly RosterEntry[];
  #otherAddresses: readonly string[] = [];

  constructor(self: RosterEntry, store: RowStore, rows: RosterRows, logger: Logger) {
    this.#self = self;
    this.#store = store;
    this.#rows = rows;
    this.#logger = logger;
    this.#entries = [self];
  }

  /** All entry VMs that are known, this one included unless it leaves. */
  entryVms(): readonly RosterEntry[] {
    return this.#entries;
  }

  /** Addresses of all entry VMs but this one. */
  otherAddresses(): readonly string[] {
    return this.#otherAddresses;
  }

  /** Takes over the rows of the table. Called after each change. */
  update(): void {
    const entries = [...this.#rows.rows.values()].flatMap((row) => this.#read(row));
    this.#ownRow = entries.find(({ id }) => id === this.#self.id);
    const others = entries.filter(({ id }) => id !== this.#self.id);
    this.#entries = [...others, ...(this.#isLeaving ? [] : [this.#self])].sort((left, right) =>
      left.id.localeCompare(right.id),
    );
    this.#otherAddresses = others.map(({ ipAddress }) => ipAddress);
    this.#addresses = new Map(this.#entries.map(({ id, ipAddress }) => [id, ipAddress]));
  }

  ipAddressOf(id: string): string | undefined {
    const known = this.#addresses.get(id);
    if (known !== undefined) {
      return known;
    }
    // The row of an entry VM that has just started may not have been read yet.
    const separator = id.lastIndexOf('@');
    return separator === -1 ? undefined : id.slice(separator + 1);
  }

  recordHeard(id: string, incarnation: string): void {
    this.#heard.set(id, { incarnation, at: performance.now() });
  }

  /** Whether another incarnation of that entry VM has been heard or has written its row since. */
  hasEnded(id: string, incarnation: string): boolean {
    const heard = this.#heard.get(id);
    if (heard !== undefined && heard.incarnation !== incarnation) {
      return true;
    }
    const entry = this.entryVms().find((other) => other.id === id);
    return entry !== undefined && entry.incarnation !== incarnation;
  }

  /** Time at which an entry VM was last heard, on the monotonic clock. */
  heardAt(id: string): number {
    return this.#heard.get(id)?.at ?? Number.NEGATIVE_INFINITY;
  }

  /** Writes this entry VM's row when it is missing or another incarnation's. */
  tick(): void {
    const now = performance.now();
    if (this.#isWriting || this.#isLeaving || !this.#rows.isLoaded || now < this.#nextWriteAt) {
      return;
    }
    if (this.#ownRow?.incarnation !== this.#self.incarnation) {
      void this.#write();
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

  /** Deletes the row of an entry VM that is gone. */
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

  async #write(): Promise<void> {
    this.#isWriting = true;
    const { id, ...described } = this.#self;
    try {
      await this.#store.transactRows({
        expected: [],
        puts: [
          {
            table: CONTROL_TABLE,
            key: ENTRY_VM_PREFIX + id,
            value: JSON.stringify(described),
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

  #read(row: StoredRow): RosterEntry[] {
    if (!row.key.startsWith(ENTRY_VM_PREFIX)) {
      return [];
    }
    try {
      return [
        { id: row.key.slice(ENTRY_VM_PREFIX.length), ...parseDocument(row.key, entryVmSchema, row.value) },
      ];
    } catch (error) {
      this.#logger.log('error', 'entry-vm-row-unreadable', { row: row.key, reason: describeError(error) });
      return [];
    }
  }
}
