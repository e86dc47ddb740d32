import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { AttemptResult, ServerRequest } from '@hickoryhoist/gateway/common/serverTransport.js';

/** Properties of a simulated server. */
export interface SimulatedServerOptions {
  readonly slots: number;
  readonly queueLength: number;
  /** Mean processing time of a request, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** One-way network latency, in milliseconds. */
  readonly networkMilliseconds: number;
}

/** Simulated server with slots and a bounded queue; it sheds requests when the queue is full. */
export class SimulatedServer {
  readonly #options: SimulatedServerOptions;
  readonly #random: RandomSource;
  readonly #slotWaiters: (() => void)[] = [];
  #busySlots = 0;

  /** Number of requests run to completion, including those that the gateway no longer waited for. */
  executed = 0;

  constructor(options: SimulatedServerOptions, random: RandomSource) {
    this.#options = options;
    this.#random = random;
  }

  async serve(request: ServerRequest): Promise<AttemptResult> {
    const { networkMilliseconds } = this.#options;
    await delay(networkMilliseconds);
    if (!(await this.#acquireSlot())) {
      await delay(networkMilliseconds);
      return { kind: 'refused', refusal: 'shed' };
    }
    if (request.signal.aborted) {
      this.#releaseSlot();
      return { kind: 'lost', cause: 'connection-lost' };
    }
    await delay(this.#drawServiceTime());
    this.executed += 1;
    this.#releaseSlot();
    await delay(networkMilliseconds);
    return { kind: 'answered', status: 200, headers: {}, body: Buffer.alloc(0) };
  }

  #drawServiceTime(): number {
    const { shortest, longest } = serviceTimeRange(this.#options.serviceMilliseconds);
    return this.#random.integer(shortest, longest);
  }

  async #acquireSlot(): Promise<boolean> {
    if (this.#busySlots < this.#options.slots) {
      this.#busySlots += 1;
      return true;
    }
    if (this.#slotWaiters.length >= this.#options.queueLength) {
      return false;
    }
    await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
    return true;
  }

  #releaseSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next === undefined) {
      this.#busySlots -= 1;
    } else {
      next();
    }
  }
}

/** Range of a uniform distribution of processing times, in whole milliseconds. */
export function serviceTimeRange(meanMilliseconds: number): {
  readonly shortest: number;
  readonly longest: number;
} {
  return { shortest: Math.round(meanMilliseconds * 0.5), longest: Math.round(meanMilliseconds * 1.5) };
}
