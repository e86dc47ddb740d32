import type { Disposable } from '@hickoryhoist/base/common/disposable.js';

/** Reservations up to this size may use the part of a budget that is closed to larger ones. */
const SMALL_BYTES = 65_536;
/** Part of a budget that only small reservations may use. */
const SMALL_SHARE = 1 / 8;

/** Bytes reserved in a budget until they are disposed. */
export interface MemoryReservation extends Disposable {
  readonly bytes: number;
  /** Reserves further bytes. @returns false, without any change, if they do not fit. */
  tryGrow(bytes: number): boolean;
  /** Releases a part of the bytes. */
  shrink(bytes: number): void;
}

class BudgetReservation implements MemoryReservation {
  readonly #reserve: (bytes: number) => boolean;
  readonly #release: (bytes: number) => void;
  /** Discards what the reservation is for, if that can be displaced. */
  readonly discard: (() => void) | undefined;
  bytes = 0;

  constructor(reserve: (bytes: number) => boolean, release: (bytes: number) => void, discard?: () => void) {
    this.#reserve = reserve;
    this.#release = release;
    this.discard = discard;
  }

  tryGrow(bytes: number): boolean {
    if (!this.#reserve(bytes)) {
      return false;
    }
    this.bytes += bytes;
    return true;
  }

  shrink(bytes: number): void {
    this.bytes -= bytes;
    this.#release(bytes);
  }

  dispose(): void {
    this.shrink(this.bytes);
  }
}

/**
 * Bounds the bytes that a process holds for callers. Load pattern: large bodies are uploaded at the same time or
 * responses are read slowly; each is within its limit, but all together exceed the memory of the process. A body that
 * does not fit is refused, before it is read. A response cannot be refused, since its request has run: the largest one
 * that is held is discarded in its place. Small bodies have a share of their own, so that uploads do not displace them.
 */
export class MemoryBudget {
  readonly maxBytes: number;
  readonly #displaceable = new Set<BudgetReservation>();
  #usedBytes = 0;

  /** @param maxBytes infinite for no limit. */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Bytes that are reserved; never more than `maxBytes`. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** @returns undefined if the bytes do not fit. */
  reserve(bytes: number): MemoryReservation | undefined {
    const reservation: BudgetReservation = new BudgetReservation(
      (more) => this.#tryReserve(more, reservation.bytes + more),
      (released) => {
        this.#usedBytes -= released;
      },
    );
    return reservation.tryGrow(bytes) ? reservation : undefined;
  }

  /**
   * Reserves bytes that are held in any case. If they do not fit, the largest of these reservations are discarded and
   * disposed until they do, the new one itself if it is the largest.
   * @param discard frees the bytes.
   */
  hold(bytes: number, discard: () => void): MemoryReservation {
    const reservation: BudgetReservation = new BudgetReservation(
      () => false,
      (released) => {
        if (this.#displaceable.delete(reservation)) {
          this.#usedBytes -= released;
        }
      },
      discard,
    );
    reservation.bytes = bytes;
    while (this.#usedBytes + bytes > this.maxBytes) {
      const largest = this.#largestDisplaceable();
      if (largest === undefined || largest.bytes < bytes) {
        discard();
        return reservation;
      }
      largest.dispose();
      largest.discard?.();
    }
    this.#displaceable.add(reservation);
    this.#usedBytes += bytes;
    return reservation;
  }

  #tryReserve(bytes: number, totalBytes: number): boolean {
    const limit = totalBytes <= SMALL_BYTES ? this.maxBytes : this.maxBytes * (1 - SMALL_SHARE);
    if (this.#usedBytes + bytes > limit) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  #largestDisplaceable(): BudgetReservation | undefined {
    let largest: BudgetReservation | undefined;
    for (const reservation of this.#displaceable) {
      if (largest === undefined || reservation.bytes > largest.bytes) {
        largest = reservation;
      }
    }
    return largest;
  }
}
