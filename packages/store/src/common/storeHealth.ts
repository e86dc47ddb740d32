import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';

/** Time for which calls have failed after which the store counts as lost, in milliseconds: a few retries. */
const LOST_AFTER_MILLISECONDS = 500;

/** Whether this process reaches the store, judged from the answers to all of its calls. */
export class StoreHealth {
  readonly #logger: Logger;
  readonly #onDidRegain = new Emitter<void>();
  #isReachable = false;
  #hasFailed = false;
  #lastAnswerAt = Number.NEGATIVE_INFINITY;
  #reachableSince = Number.POSITIVE_INFINITY;
  #failingSince: number | undefined;

  /** Fires when the store answers again after it was lost, and on the first answer. */
  readonly onDidBecomeReachable = this.#onDidRegain.event;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Whether calls are answered, but for some single ones. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Milliseconds without an answer while calls fail; 0 when the newest call was answered. */
  silenceMilliseconds(): number {
    return this.#failingSince === undefined ? 0 : performance.now() - this.#lastAnswerAt;
  }

  /** Milliseconds for which the store has answered without being lost, 0 while it is lost. */
  reachableMilliseconds(): number {
    return this.#isReachable ? performance.now() - this.#reachableSince : 0;
  }

  recordSuccess(): void {
    const now = performance.now();
    this.#lastAnswerAt = now;
    this.#failingSince = undefined;
    if (!this.#isReachable) {
      // A process that has seen no failure knows of no outage whose effects would have to pass.
      this.#reachableSince = this.#hasFailed ? now : Number.NEGATIVE_INFINITY;
      this.#isReachable = true;
      this.#logger.log('info', 'store-reachable');
      this.#onDidRegain.fire();
    }
  }

  recordFailure(error: unknown): void {
    const now = performance.now();
    this.#hasFailed = true;
    this.#failingSince ??= now;
    if (this.#isReachable && now - this.#failingSince > LOST_AFTER_MILLISECONDS) {
      this.#isReachable = false;
      this.#logger.log('warn', 'store-lost', { reason: describeError(error) });
    }
  }
}
