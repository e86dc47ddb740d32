import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { AttemptResult, ServerRequest } from '@hickoryhoist/gateway/common/serverTransport.js';

/** Properties of a simulated server. */
export interface SimulatedServerOptions {
  readonly slots: number;
  readonly queueLength: number;
  /** Mean time that a request takes, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Time that a message takes one way, in milliseconds. */
  readonly networkMilliseconds: number;
}

/** A server with slots and a bounded queue on the runtime's clock; beyond the queue it sheds. */
export class SimulatedServer {
  readonly #options: SimulatedServerOptions;
  readonly #random: RandomSource;
  readonly #waiting: (() => void)[] = [];
  #busy = 0;

  /** Requests that were run to their end, whether anybody still waited for them or not. */
  executed = 0;

  constructor(options: SimulatedServerOptions, random: RandomSource) {
    this.#options = options;
    this.#random = random;
  }

  async serve(request: ServerRequest): Promise<AttemptResult> {
    const { networkMilliseconds } = this.#options;
    await delay(networkMilliseconds);
    if (!(await this.#enter())) {
      await delay(networkMilliseconds);
      return { kind: 'refused', refusal: 'shed' };
    }
    if (request.signal.aborted) {
      this.#leave();
      return { kind: 'lost', cause: 'connection-lost' };
    }
    await delay(this.#serviceTime());
    this.executed += 1;
    this.#leave();
    await delay(networkMilliseconds);
    return { kind: 'answered', status: 200, headers: {}, body: Buffer.alloc(0) };
  }

  #serviceTime(): number {
    const { shortest, longest } = serviceTimes(this.#options.serviceMilliseconds);
    return this.#random.integer(shortest, longest);
  }

  async #enter(): Promise<boolean> {
    if (this.#busy < this.#options.slots) {
      this.#busy += 1;
      return true;
    }
    if (this.#waiting.length >= this.#options.queueLength) {
      return false;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
    return true;
  }

  #leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#busy -= 1;
    } else {
      next();
    }
  }
}

/** Range of whole milliseconds from which service times are drawn evenly. */
export function serviceTimes(meanMilliseconds: number): {
  readonly shortest: number;
  readonly longest: number;
} {
  return { shortest: Math.round(meanMilliseconds * 0.5), longest: Math.round(meanMilliseconds * 1.5) };
}
