import { type Disposable, toDisposable } from './disposable.js';

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of an `Event`. Listeners run in the order of subscription. */
export class Emitter<T> implements Disposable {
  readonly #listeners = new Set<(value: T) => void>();

  readonly event: Event<T> = (listener) => {
    const entry = (value: T): void => {
      listener(value);
    };
    this.#listeners.add(entry);
    return toDisposable(() => this.#listeners.delete(entry));
  };

  fire(value: T): void {
    for (const listener of [...this.#listeners]) {
      listener(value);
    }
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
