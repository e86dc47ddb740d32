import { type Disposable, toDisposable } from '@hickoryhoist/base/common/disposable.js';

/** Class of a request. Interactive requests are admitted before bulk ones. */
export type LatencyClass = 'interactive' | 'bulk';

/** Result of acquiring a slot. */
export type SlotResult =
  { readonly kind: 'acquired'; readonly slot: Disposable } | { readonly kind: 'overloaded' };

interface Waiter {
  readonly latencyClass: LatencyClass;
  readonly expiresAt: number;
  readonly resolve: (result: SlotResult) => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Limits the requests that one gateway has in flight at one server. Requests beyond the limit wait in a bounded
 * queue, each for as long as its deadline allows.
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

  /** Acquires a slot, waiting for at most `maximumWaitMilliseconds`. */
  acquire(latencyClass: LatencyClass, maximumWaitMilliseconds: number): Promise<SlotResult> {
    if (this.#inUse < this.#limit) {
      return Promise.resolve(this.#allocate());
    }
    if (this.#waiting.length >= this.#maximumWaiting || maximumWaitMilliseconds <= 0) {
      return Promise.resolve({ kind: 'overloaded' });
    }
    return new Promise((resolve) => {
      const expiresAt = performance.now() + maximumWaitMilliseconds;
      const timer = setTimeout(() => {
        this.#remove(waiter);
        resolve({ kind: 'overloaded' });
      }, maximumWaitMilliseconds);
      const waiter: Waiter = { latencyClass, expiresAt: expiresAt, resolve, timer };
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

  #allocate(): SlotResult {
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
      waiter.resolve(this.#allocate());
    }
  }
}
