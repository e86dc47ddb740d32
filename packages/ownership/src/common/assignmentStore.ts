import { randomUUID } from 'node:crypto';
import { z } from 'zod';
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

/** Who is the assigner of a group, as the table service has it. */
export interface TermRecord {
  readonly rowVersion: number;
  readonly term: number;
  readonly holder: EntryVm | undefined;
}

/** The right to write the assignment of a group; it ends when another process takes the next term. */
export interface HeldTerm {
  readonly rowVersion: number;
  readonly term: number;
}

/** Outcome of a write under a term. */
export type TermWriteResult = 'written' | 'term-lost';

/** Rows of one group in the table service: its term, the heartbeat of its assigner, and its assignment. */
export class AssignmentStore {
  readonly #table: TableService;
  readonly #termRow: string;
  readonly #heartbeatRow: string;
  readonly #assignmentRow: string;
  readonly #group: string;
  /** Version that the heartbeat row has after this process's last write; undefined when it must be read. */
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

  /** Version of the heartbeat row; it changes while the assigner lives. @throws PlatformUnavailableError */
  async readHeartbeat(): Promise<number> {
    return (await this.#table.read(this.#heartbeatRow)).version;
  }

  /**
   * Takes the term after `seen`. A lost answer is resolved by reading.
   * @returns undefined when another process was first.
   * @throws PlatformUnavailableError
   */
  async acquireTerm(seen: TermRecord, self: EntryVm): Promise<HeldTerm | undefined> {
    const term = seen.term + 1;
    const value = JSON.stringify({ term, holder: self });
    try {
      const result = await this.#table.transact([
        { kind: 'put', key: this.#termRow, expectedVersion: seen.rowVersion, value },
      ]);
      return result.kind === 'committed' ? { term, rowVersion: seen.rowVersion + 1 } : undefined;
    } catch (error) {
      rethrowUnlessApplied(error);
      const now = await this.readTerm();
      const isMine = now.term === term && now.holder?.incarnation === self.incarnation;
      return isMine ? { term, rowVersion: now.rowVersion } : undefined;
    }
  }

  /** Shows that the assigner lives. @throws PlatformUnavailableError */
  async writeHeartbeat(held: HeldTerm): Promise<TermWriteResult> {
    const version = this.#heartbeatVersion ?? (await this.readHeartbeat());
    this.#heartbeatVersion = undefined;
    const result = await this.#table.transact([
      { kind: 'check', key: this.#termRow, expectedVersion: held.rowVersion },
      { kind: 'put', key: this.#heartbeatRow, expectedVersion: version, value: held.term.toString() },
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
   * Writes a revision on top of the one before it. The row's version is the revision.
   * @throws PlatformUnavailableError when the outcome cannot be learned.
   */
  async writeAssignment(held: HeldTerm, assignment: Assignment): Promise<TermWriteResult> {
    try {
      const result = await this.#table.transact([
        { kind: 'check', key: this.#termRow, expectedVersion: held.rowVersion },
        {
          kind: 'put',
          key: this.#assignmentRow,
          expectedVersion: assignment.revision - 1,
          value: JSON.stringify(assignment),
        },
      ]);
      return result.kind === 'committed' ? 'written' : await this.#resolveWrite(assignment);
    } catch (error) {
      rethrowUnlessApplied(error);
      return this.#resolveWrite(assignment);
    }
  }

  /** An assignment without servers, as a new group starts. */
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

  async #resolveWrite(assignment: Assignment): Promise<TermWriteResult> {
    const current = await this.readAssignment();
    return current?.writeId === assignment.writeId ? 'written' : 'term-lost';
  }
}

function rethrowUnlessApplied(error: unknown): void {
  if (!(error instanceof PlatformUnavailableError && error.mayHaveApplied)) {
    throw error;
  }
}
