import type { KeyTraffic } from './keyPlanner.js';

/** Length of the window, in milliseconds: long enough for a few hundred requests. */
const RECENT_MILLISECONDS = 2_000;

interface Batch {
  readonly at: number;
  readonly keys: readonly number[];
}

/** Sliding window over the request keys of one service that entry VMs report. */
export class KeyTrafficWindow {
  #batches: Batch[] = [];

  record(keys: readonly number[], now: number): void {
    this.#batches.push({ at: now, keys });
  }

  traffic(now: number): KeyTraffic {
    this.#batches = this.#batches.filter(({ at }) => now - at < RECENT_MILLISECONDS);
    const sortedKeys = this.#batches.flatMap(({ keys }) => keys).sort((left, right) => left - right);
    return { sortedKeys, seconds: RECENT_MILLISECONDS / 1_000 };
  }
}
