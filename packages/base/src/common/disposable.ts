/** An object that holds resources until it is disposed. Disposal is idempotent. */
export interface Disposable {
  dispose(): void;
}

/** Wraps a function as a `Disposable` that runs it at most once. */
export function toDisposable(release: () => void): Disposable {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) {
        return;
      }
      isDisposed = true;
      release();
    },
  };
}

/** Owns a set of disposables and disposes them together, most recently added first. */
export class DisposableStore implements Disposable {
  readonly #items: Disposable[] = [];
  #isDisposed = false;

  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Takes ownership of an item. An item added after disposal is disposed immediately. */
  add<T extends Disposable>(item: T): T {
    if (this.#isDisposed) {
      item.dispose();
      return item;
    }
    this.#items.push(item);
    return item;
  }

  dispose(): void {
    if (this.#isDisposed) {
      return;
    }
    this.#isDisposed = true;
    for (const item of this.#items.reverse()) {
      item.dispose();
    }
    this.#items.length = 0;
  }
}

/** Base class that disposes all registered disposables with itself. */
export abstract class DisposableBase implements Disposable {
  readonly #store = new DisposableStore();

  protected isDisposed(): boolean {
    return this.#store.isDisposed;
  }

  protected register<T extends Disposable>(item: T): T {
    return this.#store.add(item);
  }

  dispose(): void {
    this.#store.dispose();
  }
}
