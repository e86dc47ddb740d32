import { KeyHasher, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { GroupLoad } from '@hickoryhoist/ownership/common/observations.js';
import type { Pin } from '@hickoryhoist/protocol/common/assignment.js';

const SPEEDS: readonly number[] = [0.5, 0.75, 1, 1, 1.25, 1.5];
const ZIPF_EXPONENT = 1;
const HOT_KEYS = 270;
const HOT_CHANGE_SECONDS = 120;
const WORK_MILLISECONDS_PER_SECOND = 20_000;
const REPORTED_KEYS = 300;
/** Seconds at which one server is lost, and at which it is back. */
const LOSS_SECOND = 200;
const RETURN_SECOND = 300;

/** Shape of a keyed service under a moving load. */
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

/** Zipf load on keys whose hottest members change every two minutes, with one server lost and back. */
export class BalanceWorkload {
  readonly options: BalanceWorkloadOptions;
  readonly keys: readonly KeyEntry[];
  readonly #ranks: number[];
  readonly #weights: readonly number[];
  readonly #random: RandomSource;
  #load: GroupLoad | undefined;

  private constructor(options: BalanceWorkloadOptions, hasher: KeyHasher) {
    this.options = options;
    this.#random = new RandomSource(options.seed);
    this.keys = Array.from({ length: options.keys }, (_unused, index) => {
      const keyHash = hasher.hash(`${options.seed.toString()}-${index.toString()}`);
      return { keyHash, slice: sliceOf(keyHash, options.sliceCount) };
    });
    this.#ranks = this.keys.map((_key, index) => index);
    const raw = this.keys.map((_key, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT);
    const sum = raw.reduce((left, right) => left + right, 0);
    this.#weights = raw.map((weight) => (weight * WORK_MILLISECONDS_PER_SECOND) / sum);
  }

  static async create(options: BalanceWorkloadOptions): Promise<BalanceWorkload> {
    return new BalanceWorkload(options, await KeyHasher.create());
  }

  speedOf(server: number): number {
    return SPEEDS[server % SPEEDS.length] ?? 1;
  }

  isServing(server: number, second: number): boolean {
    return server !== 0 || second < LOSS_SECOND || second >= RETURN_SECOND;
  }

  /** Lets the hottest keys change when their time has come. */
  advanceTo(second: number): void {
    if (second === 0 || second % HOT_CHANGE_SECONDS !== 0) {
      return;
    }
    this.#load = undefined;
    for (let hot = 0; hot < HOT_KEYS; hot += 1) {
      const other = this.#random.integer(0, this.#ranks.length - 1);
      [this.#ranks[hot], this.#ranks[other]] = [this.#ranks[other] ?? 0, this.#ranks[hot] ?? 0];
    }
  }

  /** Work of a key, in busy milliseconds per second at a server of speed 1. */
  workOf(key: number): number {
    return this.#weights[this.#ranks[key] ?? 0] ?? 0;
  }

  /** The load as the gateways would report it. */
  load(pins: readonly Pin[]): GroupLoad {
    this.#load ??= this.#sumUp();
    const { total, keys, speeds } = this.#load;
    const slices = new Map(this.#load.slices);
    for (const { keyHash } of pins) {
      const slice = sliceOf(keyHash, this.options.sliceCount);
      slices.set(slice, Math.max(0, (slices.get(slice) ?? 0) - (keys.get(keyHash) ?? 0)));
    }
    return { total, slices, keys, speeds };
  }

  #sumUp(): GroupLoad {
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
      .slice(0, REPORTED_KEYS);
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
