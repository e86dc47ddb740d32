const BUCKET_MILLISECONDS = 60_000;

/** Windows over which outcomes can be counted, in minutes. */
export const windowMinutes = [5, 60, 360] as const;

/** At least one bucket for each minute of the longest window. */
const BUCKET_COUNT = 361;

/** Number of requests that count towards the objective, and of those that met it. */
export interface OutcomeCount {
  readonly total: number;
  readonly good: number;
}

interface Bucket {
  minute: number;
  total: number;
  good: number;
}

/** Counts outcomes by minute, in a ring of buckets that covers the longest window. */
export class OutcomeWindows {
  readonly #buckets = new Map<number, Bucket>();

  record(isGood: boolean): void {
    const minute = currentMinute();
    const index = minute % BUCKET_COUNT;
    let bucket = this.#buckets.get(index);
    if (bucket?.minute !== minute) {
      bucket = { minute, total: 0, good: 0 };
      this.#buckets.set(index, bucket);
    }
    bucket.total += 1;
    bucket.good += isGood ? 1 : 0;
  }

  /** Adds up the last `minutes` minutes, including the current one. */
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
