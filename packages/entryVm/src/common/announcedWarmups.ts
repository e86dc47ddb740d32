import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';

/** Delay of an announcement up to which a later end of the same warm-up is no extension, in milliseconds. */
const DELAY_MILLISECONDS = 1_000;

interface Warmup {
  readonly incarnation: number;
  readonly endsAt: number;
}

/**
 * When the warm-up times end that servers announce. Load pattern: servers announce the remaining time again and again
 * while it passes, and some become cold again at a later time without a restart.
 */
export class AnnouncedWarmups {
  readonly #warmups = new Map<string, Warmup>();

  /** Records an announcement. @returns whether the server of a known incarnation is cold for longer than it announced. */
  record({ id, incarnation, warmupMilliseconds }: ServerRecord, now: number): boolean {
    const known = this.#warmups.get(id);
    const endsAt = now + warmupMilliseconds;
    const isExtension =
      known?.incarnation === incarnation &&
      warmupMilliseconds > 0 &&
      endsAt > Math.max(now, known.endsAt) + DELAY_MILLISECONDS;
    this.#warmups.set(id, {
      incarnation,
      endsAt: known?.incarnation !== incarnation || isExtension ? endsAt : Math.min(known.endsAt, endsAt),
    });
    return isExtension;
  }

  /** Remaining warm-up time of a server, in milliseconds. */
  remainingMilliseconds(id: string, now: number): number {
    return Math.max(0, (this.#warmups.get(id)?.endsAt ?? now) - now);
  }

  delete(id: string): void {
    this.#warmups.delete(id);
  }
}
