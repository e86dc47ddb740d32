/** For how long the incarnation of a server is remembered after its announcement is gone, in milliseconds. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * The newest known incarnation of each server. Load pattern: the store performs a write of a server's former process
 * after that process has been replaced, so the row of the former one arrives last. The start time decides which of two
 * announcements is the newer one, not the order in which they arrive.
 */
export class ServerIncarnations {
  readonly #newest = new Map<string, number>();
  /** When the announcements of servers were removed, by ID. */
  readonly #removedAt = new Map<string, number>();

  /**
   * Records an announcement.
   * @returns whether it comes from the newest incarnation that is known.
   */
  record(id: string, incarnation: number): boolean {
    if ((this.#newest.get(id) ?? incarnation) > incarnation) {
      return false;
    }
    this.#newest.set(id, incarnation);
    this.#removedAt.delete(id);
    return true;
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
