import type { KeyTraffic } from './keyPlanner.js';

/** Length of the window, in milliseconds: long enough for a few hundred requests. */
const RECENT_MILLISECONDS = 2_000;
/** Length of its newest part, in milliseconds: two reports of each entry VM. */
const NEWEST_MILLISECONDS = 800;

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
    return this.#since(now, RECENT_MILLISECONDS);
  }

  /** The newest part of the traffic, from which a surge is noticed early. */
  newestTraffic(now: number): KeyTraffic {
    return this.#since(now, NEWEST_MILLISECONDS);
  }

  #since(now: number, milliseconds: number): KeyTraffic {
    const sortedKeys = this.#batches
      .filter(({ at }) => now - at < milliseconds)
      .flatMap(({ keys }) => keys)
      .sort((left, right) => left - right);
    return { sortedKeys, seconds: milliseconds / 1_000 };
  }
}
