import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const FRACTION_STEPS = 0x40000000;

/** Seeded pseudo-random number generator; the same seed yields the same sequence. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `minimum` to `maximum`, both included. */
  integer(minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum);
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return this.integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** Returns a random element of a list. @throws RangeError when the list is empty. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) {
      throw new RangeError('cannot pick from an empty list');
    }
    return item;
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }
}
