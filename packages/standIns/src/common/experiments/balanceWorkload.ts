import { KeyHasher, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { GroupLoad } from '@hickoryhoist/ownership/common/observations.js';
import type { Pin } from '@hickoryhoist/protocol/common/assignment.js';

/** Relative speeds of the servers, repeated cyclically. */
const SPEEDS: readonly number[] = [0.5, 0.75, 1, 1, 1.25, 1.5];
const ZIPF_EXPONENT = 1;
/** Number of the hottest keys that swap their popularity with random keys at each change. */
const HOT_KEY_COUNT = 270;
const HOT_CHANGE_SECONDS = 120;
/** Work of all keys together, in busy milliseconds per second at servers of speed 1. */
const TOTAL_WORK_MILLISECONDS_PER_SECOND = 20_000;
/** Number of keys whose load is reported individually. */
const MAX_REPORTED_KEYS = 300;
/** Seconds at which server 0 fails and at which it serves again. */
const FAILURE_SECOND = 200;
const RECOVERY_SECOND = 300;

/** Size of a keyed service and duration of the workload. */
export interface BalanceWorkloadOptions {
  readonly seed: number;
  readonly servers: number;
  readonly sliceCount: number;
  readonly keys: number;
  readonly seconds: number;
}

interface KeyEntry {
  readonly keyHash: string;
  readonly slice: number;
}

/** Zipf-distributed load on keys. The hottest keys change every two minutes, and one server fails and recovers. */
export class BalanceWorkload {
  readonly options: BalanceWorkloadOptions;
  readonly keys: readonly KeyEntry[];
  readonly #popularityRanks: number[];
  readonly #workByRank: readonly number[];
  readonly #random: RandomSource;
  #cachedLoad: GroupLoad | undefined;

  private constructor(options: BalanceWorkloadOptions, hasher: KeyHasher) {
    this.options = options;
    this.#random = new RandomSource(options.seed);
    this.keys = Array.from({ length: options.keys }, (_unused, index) => {
      const keyHash = hasher.hash(`${options.seed.toString()}-${index.toString()}`);
      return { keyHash, slice: sliceOf(keyHash, options.sliceCount) };
    });
    this.#popularityRanks = this.keys.map((_key, index) => index);
    const raw = this.keys.map((_key, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT);
    const sum = raw.reduce((left, right) => left + right, 0);
    this.#workByRank = raw.map((weight) => (weight * TOTAL_WORK_MILLISECONDS_PER_SECOND) / sum);
  }

  static async create(options: BalanceWorkloadOptions): Promise<BalanceWorkload> {
    return new BalanceWorkload(options, await KeyHasher.create());
  }

  speedOf(server: number): number {
    return SPEEDS[server % SPEEDS.length] ?? 1;
  }

  isServing(server: number, second: number): boolean {
    return server !== 0 || second < FAILURE_SECOND || second >= RECOVERY_SECOND;
  }

  /** Advances to the next second and replaces the hottest keys when a change is due. */
  advanceTo(second: number): void {
    if (second === 0 || second % HOT_CHANGE_SECONDS !== 0) {
      return;
    }
    this.#cachedLoad = undefined;
    for (let hot = 0; hot < HOT_KEY_COUNT; hot += 1) {
      const other = this.#random.integer(0, this.#popularityRanks.length - 1);
      [this.#popularityRanks[hot], this.#popularityRanks[other]] = [
        this.#popularityRanks[other] ?? 0,
        this.#popularityRanks[hot] ?? 0,
      ];
    }
  }

  /** Work of a key, in busy milliseconds per second at a server of speed 1. */
  workOf(key: number): number {
    return this.#workByRank[this.#popularityRanks[key] ?? 0] ?? 0;
  }

  /** Returns the load as the gateways would report it; pinned keys don't count for their slices. */
  load(pins: readonly Pin[]): GroupLoad {
    this.#cachedLoad ??= this.#computeLoad();
    const { total, keys, speeds } = this.#cachedLoad;
    const slices = new Map(this.#cachedLoad.slices);
    for (const { keyHash } of pins) {
      const slice = sliceOf(keyHash, this.options.sliceCount);
      slices.set(slice, Math.max(0, (slices.get(slice) ?? 0) - (keys.get(keyHash) ?? 0)));
    }
    return { total, slices, keys, speeds };
  }

  #computeLoad(): GroupLoad {
    const slices = new Map<number, number>();
    let total = 0;
    this.keys.forEach(({ slice }, index) => {
      const work = this.workOf(index);
      total += work;
      slices.set(slice, (slices.get(slice) ?? 0) + work);
    });
    const hottest = this.keys
      .map(({ keyHash }, index): [string, number] => [keyHash, this.workOf(index)])
      .sort(([, left], [, right]) => right - left)
      .slice(0, MAX_REPORTED_KEYS);
    const speeds = Array.from({ length: this.options.servers }, (_unused, server): [string, number] => [
      serverAddress(server),
      this.speedOf(server),
    ]);
    return { total, slices, keys: new Map(hottest), speeds: new Map(speeds) };
  }
}

export function serverAddress(server: number): string {
  return `10.0.0.${server.toString()}:80`;
}
