import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { PlatformUnavailableError, type TableService } from '@hickoryhoist/store/common/tableService.js';
import { type Assignment, assignmentSchema, type EntryVm } from '@hickoryhoist/protocol/common/assignment.js';

const termRowSchema = z.object({
  term: z.number().int(),
  holder: z.object({
    id: z.string(),
    incarnation: z.string(),
    controlAddress: z.string(),
    requestAddress: z.string(),
    availabilityZone: z.string(),
  }),
});

/** The current term of a group and its holder, as stored in the table service. */
export interface TermRecord {
  readonly rowVersion: number;
  readonly term: number;
  readonly holder: EntryVm | undefined;
}

/** A term of this process. It may write the group's assignment until another process acquires the next term. */
export interface HeldTerm {
  readonly rowVersion: number;
  readonly term: number;
}

/** Outcome of a write that is conditional on the term. */
export type TermWriteResult = 'written' | 'term-lost';

/** Reads and writes the rows of one group: its term, the heartbeat of its assigner, and its assignment. */
export class AssignmentStore {
  readonly #table: TableService;
  readonly #termRow: string;
  readonly #heartbeatRow: string;
  readonly #assignmentRow: string;
  readonly #group: string;
  /** Version of the heartbeat row after the last write of this process; undefined when it must be read. */
  #heartbeatVersion: number | undefined;

  constructor(table: TableService, group: string) {
    this.#table = table;
    this.#group = group;
    this.#termRow = `term/${group}`;
    this.#heartbeatRow = `heartbeat/${group}`;
    this.#assignmentRow = `assignment/${group}`;
  }

  /** @throws PlatformUnavailableError */
  async readTerm(): Promise<TermRecord> {
    const row = await this.#table.read(this.#termRow);
    if (row.version === 0) {
      return { rowVersion: 0, term: 0, holder: undefined };
    }
    const { term, holder } = parseDocument(this.#termRow, termRowSchema, row.value);
    return { rowVersion: row.version, term, holder };
  }

  /** Reads the version of the heartbeat row, which changes while the assigner runs. @throws PlatformUnavailableError */
  async readHeartbeat(): Promise<number> {
    return (await this.#table.read(this.#heartbeatRow)).version;
  }

  /**
   * Acquires the term after `previous` by compare-and-set. If the response is lost, the outcome is read from the row.
   * @returns undefined when another process has acquired it.
   * @throws PlatformUnavailableError
   */
  async acquireTerm(previous: TermRecord, self: EntryVm): Promise<HeldTerm | undefined> {
    const term = previous.term + 1;
    const value = JSON.stringify({ term, holder: self });
    try {
      const result = await this.#table.transact([
        { kind: 'put', key: this.#termRow, expectedVersion: previous.rowVersion, value },
      ]);
      return result.kind === 'committed' ? { term, rowVersion: previous.rowVersion + 1 } : undefined;
    } catch (error) {
      rethrowUnlessUncertain(error);
      const current = await this.readTerm();
      const hasApplied = current.term === term && current.holder?.incarnation === self.incarnation;
      return hasApplied ? { term, rowVersion: current.rowVersion } : undefined;
    }
  }

  /** Writes the heartbeat of the assigner while it holds the term. @throws PlatformUnavailableError */
  async writeHeartbeat(heldTerm: HeldTerm): Promise<TermWriteResult> {
    const version = this.#heartbeatVersion ?? (await this.readHeartbeat());
    this.#heartbeatVersion = undefined;
    const result = await this.#table.transact([
      { kind: 'check', key: this.#termRow, expectedVersion: heldTerm.rowVersion },
      { kind: 'put', key: this.#heartbeatRow, expectedVersion: version, value: heldTerm.term.toString() },
    ]);
    if (result.kind === 'committed') {
      this.#heartbeatVersion = version + 1;
      return 'written';
    }
    return result.key === this.#termRow ? 'term-lost' : 'written';
  }

  /** @returns undefined when the group has no assignment yet. @throws PlatformUnavailableError */
  async readAssignment(): Promise<Assignment | undefined> {
    const row = await this.#table.read(this.#assignmentRow);
    return row.version === 0 ? undefined : parseDocument(this.#assignmentRow, assignmentSchema, row.value);
  }

  /**
   * Writes a revision if the previous one is stored and the term is still held. The row's version is the revision.
   * @throws PlatformUnavailableError when the outcome cannot be determined.
   */
  async writeAssignment(heldTerm: HeldTerm, assignment: Assignment): Promise<TermWriteResult> {
    try {
      const result = await this.#table.transact([
        { kind: 'check', key: this.#termRow, expectedVersion: heldTerm.rowVersion },
        {
          kind: 'put',
          key: this.#assignmentRow,
          expectedVersion: assignment.revision - 1,
          value: JSON.stringify(assignment),
        },
      ]);
      return result.kind === 'committed' ? 'written' : await this.#resolveUncertainWrite(assignment);
    } catch (error) {
      rethrowUnlessUncertain(error);
      return this.#resolveUncertainWrite(assignment);
    }
  }

  /** Returns the initial assignment of a new group, which has no servers. */
  emptyAssignment(sliceCount: number): Assignment {
    return {
      group: this.#group,
      revision: 0,
      term: 0,
      owners: new Array<number>(sliceCount).fill(0),
      servers: [],
      releases: [],
      pins: [],
      writeId: randomUUID(),
    };
  }

  async #resolveUncertainWrite(assignment: Assignment): Promise<TermWriteResult> {
    const current = await this.readAssignment();
    return current?.writeId === assignment.writeId ? 'written' : 'term-lost';
  }
}

function rethrowUnlessUncertain(error: unknown): void {
  if (!(error instanceof PlatformUnavailableError && error.mayHaveApplied)) {
    throw error;
  }
}
