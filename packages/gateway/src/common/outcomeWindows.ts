const BUCKET_MILLISECONDS = 60_000;

/** Windows over which outcomes are counted, in minutes. */
export const windowMinutes = [5, 60, 360] as const;

const BUCKET_COUNT = 361;

/** Requests that count for the objective, and those of them that met it. */
export interface OutcomeCount {
  readonly total: number;
  readonly good: number;
}

interface Bucket {
  minute: number;
  total: number;
  good: number;
}

/** Counts outcomes by the minute for the longest window. */
export class OutcomeWindows {
  readonly #buckets = new Map<number, Bucket>();

  record(isGood: boolean): void {
    const minute = currentMinute();
    const slot = minute % BUCKET_COUNT;
    let bucket = this.#buckets.get(slot);
    if (bucket?.minute !== minute) {
      bucket = { minute, total: 0, good: 0 };
      this.#buckets.set(slot, bucket);
    }
    bucket.total += 1;
    bucket.good += isGood ? 1 : 0;
  }

  /** Sums the newest minutes, the current one included. */
  count(minutes: number): OutcomeCount {
    const oldest = currentMinute() - minutes + 1;
    let total = 0;
    let good = 0;
    for (const bucket of this.#buckets.values()) {
      if (bucket.minute >= oldest) {
        total += bucket.total;
        good += bucket.good;
      }
    }
    return { total, good };
  }
}

function currentMinute(): number {
  return Math.floor(performance.now() / BUCKET_MILLISECONDS);
}
