import { type Disposable, toDisposable } from '@hickoryhoist/base/common/disposable.js';

/** Class of a request; interactive requests go before bulk ones. */
export type LatencyClass = 'interactive' | 'bulk';

/** Outcome of waiting for a slot. */
export type SlotResult =
  { readonly kind: 'acquired'; readonly slot: Disposable } | { readonly kind: 'overloaded' };

interface Waiter {
  readonly latencyClass: LatencyClass;
  readonly giveUpAt: number;
  readonly resolve: (result: SlotResult) => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Bounds the requests that one gateway has in flight at one server. Requests beyond the limit wait until the
 * time that their deadline leaves, and the queue is bounded, so that waiting never outlasts its use.
 */
export class SlotLimiter {
  readonly #maximumWaiting: number;
  readonly #waiting: Waiter[] = [];
  #limit: number;
  #inUse = 0;

  constructor(limit: number, maximumWaiting: number) {
    this.#limit = limit;
    this.#maximumWaiting = maximumWaiting;
  }

  get inUse(): number {
    return this.#inUse;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  setLimit(limit: number): void {
    this.#limit = limit;
    this.#admitWaiting();
  }

  /** Waits for a slot for at most `patienceMilliseconds`. */
  acquire(latencyClass: LatencyClass, patienceMilliseconds: number): Promise<SlotResult> {
    if (this.#inUse < this.#limit) {
      return Promise.resolve(this.#take());
    }
    if (this.#waiting.length >= this.#maximumWaiting || patienceMilliseconds <= 0) {
      return Promise.resolve({ kind: 'overloaded' });
    }
    return new Promise((resolve) => {
      const giveUpAt = performance.now() + patienceMilliseconds;
      const timer = setTimeout(() => {
        this.#remove(waiter);
        resolve({ kind: 'overloaded' });
      }, patienceMilliseconds);
      const waiter: Waiter = { latencyClass, giveUpAt, resolve, timer };
      this.#enqueue(waiter);
    });
  }

  #enqueue(waiter: Waiter): void {
    const isAfter = (other: Waiter): boolean =>
      other.latencyClass === 'bulk' && waiter.latencyClass === 'interactive';
    const position = this.#waiting.findIndex(isAfter);
    this.#waiting.splice(position === -1 ? this.#waiting.length : position, 0, waiter);
  }

  #remove(waiter: Waiter): void {
    const position = this.#waiting.indexOf(waiter);
    if (position !== -1) {
      this.#waiting.splice(position, 1);
    }
  }

  #take(): SlotResult {
    this.#inUse += 1;
    const slot = toDisposable(() => {
      this.#inUse -= 1;
      this.#admitWaiting();
    });
    return { kind: 'acquired', slot };
  }

  #admitWaiting(): void {
    while (this.#inUse < this.#limit) {
      const waiter = this.#waiting.shift();
      if (waiter === undefined) {
        return;
      }
      clearTimeout(waiter.timer);
      waiter.resolve(this.#take());
    }
  }
}
