import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';

const MINIMUM_LATENCY_MILLISECONDS = 1;
const MAXIMUM_LATENCY_MILLISECONDS = 4;

/** A message could not be delivered. */
export class FakeNetworkError extends HickoryhoistError {
  readonly code = 'fake-network';
}

/** Delivers messages between named endpoints with latency. Endpoints can be partitioned or paused. */
export class FakeNetwork {
  readonly #random: RandomSource;
  readonly #partitions = new Set<string>();
  readonly #paused = new Map<string, (() => void)[]>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Drops every later message between two endpoints, in both directions. */
  partition(first: string, second: string): void {
    this.#partitions.add(pairOf(first, second));
  }

  heal(first: string, second: string): void {
    this.#partitions.delete(pairOf(first, second));
  }

  healAll(): void {
    this.#partitions.clear();
  }

  /** Delays every message to or from an endpoint until the endpoint is resumed. */
  pause(endpoint: string): void {
    if (!this.#paused.has(endpoint)) {
      this.#paused.set(endpoint, []);
    }
  }

  resume(endpoint: string): void {
    const waiting = this.#paused.get(endpoint) ?? [];
    this.#paused.delete(endpoint);
    waiting.forEach((resolve) => {
      resolve();
    });
  }

  isPaused(endpoint: string): boolean {
    return this.#paused.has(endpoint);
  }

  /** Delivers one message. @throws FakeNetworkError when the endpoints are partitioned. */
  async deliver(from: string, to: string): Promise<void> {
    await this.#waitWhilePaused(from);
    await delay(this.#random.integer(MINIMUM_LATENCY_MILLISECONDS, MAXIMUM_LATENCY_MILLISECONDS));
    if (this.#partitions.has(pairOf(from, to))) {
      throw new FakeNetworkError(`${from} and ${to} are partitioned`);
    }
    await this.#waitWhilePaused(to);
  }

  /** Delivers a call and its response. If the response is lost, the call has been executed nevertheless. */
  async call<T>(
    from: string,
    to: string,
    timeoutMilliseconds: number,
    handle: () => T | Promise<T>,
  ): Promise<T> {
    const exchange = async (): Promise<T> => {
      await this.deliver(from, to);
      const response = await handle();
      await this.deliver(to, from);
      return response;
    };
    return Promise.race([exchange(), this.#timeout(from, to, timeoutMilliseconds)]);
  }

  async #timeout(from: string, to: string, timeoutMilliseconds: number): Promise<never> {
    await delay(timeoutMilliseconds);
    throw new FakeNetworkError(`the call from ${from} to ${to} timed out`);
  }

  async #waitWhilePaused(endpoint: string): Promise<void> {
    const waiting = this.#paused.get(endpoint);
    if (waiting !== undefined) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
  }
}

function pairOf(first: string, second: string): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`;
}
