import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';

/** Time of continuous failures after which the store is considered unreachable, in milliseconds: a few retries. */
const UNREACHABLE_AFTER_MILLISECONDS = 500;

/** Tracks whether this process can reach the store, based on the outcomes of all its calls. */
export class StoreHealth {
  readonly #logger: Logger;
  readonly #onDidRegain = new Emitter<void>();
  #isReachable = false;
  #hasFailed = false;
  /** Time of the last successful call, or of the start if there was none. */
  #lastSuccessAt = performance.now();
  #reachableSince = Number.POSITIVE_INFINITY;
  #failingSince: number | undefined;

  /** Fires on the first success after calls have failed, when the store becomes reachable. */
  readonly onDidBecomeReachable = this.#onDidRegain.event;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Whether the store is reachable; isolated failures do not change that. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Time since the last successful call, in milliseconds; 0 unless calls have failed since. */
  silenceMilliseconds(): number {
    return this.#failingSince === undefined ? 0 : performance.now() - this.#lastSuccessAt;
  }

  /** Time for which the store has been reachable without interruption, in milliseconds; 0 while it is unreachable. */
  reachableMilliseconds(): number {
    return this.#isReachable ? performance.now() - this.#reachableSince : 0;
  }

  recordSuccess(): void {
    const now = performance.now();
    this.#lastSuccessAt = now;
    this.#failingSince = undefined;
    if (!this.#isReachable) {
      // Without a failure before the first success, there is no known outage whose after-effects must be awaited.
      this.#reachableSince = this.#hasFailed ? now : Number.NEGATIVE_INFINITY;
      this.#isReachable = true;
      this.#logger.log('info', 'store-reachable');
      if (this.#hasFailed) {
        this.#onDidRegain.fire();
      }
    }
  }

  recordFailure(error: unknown): void {
    const now = performance.now();
    this.#hasFailed = true;
    this.#failingSince ??= now;
    if (this.#isReachable && now - this.#failingSince > UNREACHABLE_AFTER_MILLISECONDS) {
      this.#isReachable = false;
      this.#logger.log('warn', 'store-unreachable', { reason: describeError(error) });
    }
  }
}
