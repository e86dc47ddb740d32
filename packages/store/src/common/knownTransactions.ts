/** Number of versions to keep. A table that is further behind is read. */
const MAX_VERSIONS = 1_000;

/**
 * Versions of transactions whose table is known. Versions count the transactions of all tables, so a copy of a table
 * that is complete up to a version is complete up to the last of the following ones that are known to be of other tables.
 * A transaction that is not known, because its message was lost or another process has written it, ends the sequence.
 */
export class KnownTransactions {
  readonly #versions = new Set<number>();

  record(version: number): void {
    this.#versions.add(version);
    if (this.#versions.size > MAX_VERSIONS) {
      const [oldest] = this.#versions;
      this.#versions.delete(oldest ?? version);
    }
  }

  /** Last version of the unbroken sequence of known ones that follows a version; that version if none follows. */
  lastAfter(version: number): number {
    let last = version;
    while (this.#versions.has(last + 1)) {
      last += 1;
    }
    return last;
  }
}
