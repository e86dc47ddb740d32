import type { ServerPhase, ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';

/** For how long the incarnation of a server is remembered after its announcement is gone, in milliseconds. */
const RETENTION_MILLISECONDS = 60_000;

interface KnownIncarnation {
  readonly incarnation: number;
  readonly phase: ServerPhase;
}

/**
 * The newest known incarnation of each server. Load pattern: the store performs a write of a server late, after one that
 * was made later, so that the row of a former process, or of an earlier moment, arrives last. The start time decides which
 * of two announcements is the newer one, not the order in which they arrive. Within one incarnation a server that leaves
 * does not become ready again.
 */
export class ServerIncarnations {
  readonly #newest = new Map<string, KnownIncarnation>();
  /** When the announcements of servers were removed, by ID. */
  readonly #removedAt = new Map<string, number>();

  /**
   * Records an announcement.
   * @returns whether it is not older than what is known.
   */
  record({ id, incarnation, phase }: Pick<ServerRecord, 'id' | 'incarnation' | 'phase'>): boolean {
    const known = this.#newest.get(id);
    const isFormer = known !== undefined && known.incarnation > incarnation;
    const isEarlier = known?.incarnation === incarnation && known.phase === 'leaving' && phase === 'ready';
    if (isFormer || isEarlier) {
      return false;
    }
    this.#newest.set(id, { incarnation, phase });
    this.#removedAt.delete(id);
    return true;
  }

  /** Whether the announcement of a server that was known is gone. */
  hasRemoved(id: string): boolean {
    return this.#removedAt.has(id);
  }

  /** Records that a server's announcement is gone. Writes of its processes may still be performed for a while. */
  recordRemoval(id: string, now: number): void {
    this.#removedAt.set(id, now);
    for (const [other, removedAt] of this.#removedAt) {
      if (now - removedAt > RETENTION_MILLISECONDS) {
        this.#removedAt.delete(other);
        this.#newest.delete(other);
      }
    }
  }
}
