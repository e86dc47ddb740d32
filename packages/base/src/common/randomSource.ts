import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const FRACTION_STEPS = 0x40000000;

/** Seeded random numbers; the same seed gives the same sequence. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Integer from `minimum` to `maximum`, both included. */
  integer(minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum);
  }

  /** Number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return this.integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** Element of a list that is not empty. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) {
      throw new RangeError('cannot pick from an empty list');
    }
    return item;
  }

  /** Exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }
}
