/** For how long the store may perform a write late, in milliseconds. */
const LATE_WRITE_MILLISECONDS = 10_000;

interface LeavingStatement {
  /** Newest incarnation that was known when the server made the statement. */
  readonly incarnation: number;
  /** Time of the statement, in milliseconds since 1970. */
  readonly madeAt: number;
  /** The same on the monotonic clock. */
  readonly recordedAt: number;
}

/**
 * Statements of servers, in responses, that they are leaving. Load pattern: a server starts again and leaves, and the
 * announcement of its new incarnation arrives after the statement, since the store performs the write late. A response
 * does not name the incarnation that sent it, so a statement holds for each one that had started by then. Clocks of VMs
 * differ, so that an incarnation that was unknown is judged by its start time only while its announcement may be late.
 */
export class LeavingStatements {
  readonly #byServer = new Map<string, LeavingStatement>();

  /**
   * Records a statement.
   * @param incarnation the newest known incarnation of the server.
   * @returns whether it is new.
   */
  record(id: string, incarnation: number): boolean {
    const known = this.#byServer.get(id);
    if (known !== undefined && known.incarnation >= incarnation) {
      return false;
    }
    this.#byServer.set(id, { incarnation, madeAt: Date.now(), recordedAt: performance.now() });
    return true;
  }

  /** Whether a statement holds for an incarnation. */
  covers(id: string, incarnation: number): boolean {
    const statement = this.#byServer.get(id);
    if (statement === undefined) {
      return false;
    }
    const mayBeLate = performance.now() - statement.recordedAt < LATE_WRITE_MILLISECONDS;
    return incarnation <= statement.incarnation || (mayBeLate && incarnation <= statement.madeAt);
  }

  /** Forgets statements that are older than a time and whose server is not known. */
  forget(olderThan: number, isKnown: (id: string) => boolean): void {
    for (const [id, { recordedAt }] of this.#byServer) {
      if (recordedAt < olderThan && !isKnown(id)) {
        this.#byServer.delete(id);
      }
    }
  }
}
