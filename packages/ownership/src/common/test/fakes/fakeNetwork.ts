import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';

const MINIMUM_LATENCY_MILLISECONDS = 1;
const MAXIMUM_LATENCY_MILLISECONDS = 4;

/** A message could not be delivered. */
export class FakeNetworkError extends HickoryhoistError {
  readonly code = 'fake-network';
}

/** Delivers messages between named ends with latency; ends can be cut apart, frozen or removed. */
export class FakeNetwork {
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();
  readonly #frozen = new Map<string, (() => void)[]>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Drops every later message between two ends, in both directions. */
  cut(left: string, right: string): void {
    this.#cuts.add(pairOf(left, right));
  }

  mend(left: string, right: string): void {
    this.#cuts.delete(pairOf(left, right));
  }

  mendAll(): void {
    this.#cuts.clear();
  }

  /** Holds every message to or from an end until it thaws. */
  freeze(end: string): void {
    if (!this.#frozen.has(end)) {
      this.#frozen.set(end, []);
    }
  }

  thaw(end: string): void {
    const waiting = this.#frozen.get(end) ?? [];
    this.#frozen.delete(end);
    waiting.forEach((resume) => {
      resume();
    });
  }

  isFrozen(end: string): boolean {
    return this.#frozen.has(end);
  }

  /** Carries one message across. @throws FakeNetworkError when the ends are cut apart. */
  async cross(from: string, to: string): Promise<void> {
    await this.#whileFrozen(from);
    await delay(this.#random.integer(MINIMUM_LATENCY_MILLISECONDS, MAXIMUM_LATENCY_MILLISECONDS));
    if (this.#cuts.has(pairOf(from, to))) {
      throw new FakeNetworkError(`${from} and ${to} are cut apart`);
    }
    await this.#whileFrozen(to);
  }

  /** Carries a call and its answer across. A lost answer leaves the call done. */
  async call<T>(
    from: string,
    to: string,
    timeoutMilliseconds: number,
    handle: () => T | Promise<T>,
  ): Promise<T> {
    const exchange = async (): Promise<T> => {
      await this.cross(from, to);
      const answer = await handle();
      await this.cross(to, from);
      return answer;
    };
    return Promise.race([exchange(), this.#timeout(from, to, timeoutMilliseconds)]);
  }

  async #timeout(from: string, to: string, timeoutMilliseconds: number): Promise<never> {
    await delay(timeoutMilliseconds);
    throw new FakeNetworkError(`${from} heard nothing of ${to}`);
  }

  async #whileFrozen(end: string): Promise<void> {
    const waiting = this.#frozen.get(end);
    if (waiting !== undefined) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
  }
}

function pairOf(left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`;
}
