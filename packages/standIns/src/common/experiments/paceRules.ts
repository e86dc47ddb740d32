import { type PaceFactory, type RequestPace, ServerPace } from '@hickoryhoist/dispatch/common/serverPace.js';

/** Time over which the rule by time grows the limit, in milliseconds. */
const RAMP_MILLISECONDS = 3_000;

/** Limit as a function of the good answers and the time since the first of them; undefined for no limit. */
type Ramp = (goodAnswers: number, milliseconds: number, slots: number) => number | undefined;

/** A pace that grows whatever the answers take, and begins anew with a failure. */
class RampPace implements RequestPace {
  readonly #slots: number;
  readonly #ramp: Ramp;
  readonly #startsWithOne: boolean;
  readonly #attempts = new Set<string>();
  #isLimited = false;
  #goodAnswers = 0;
  #grewAt = 0;
  #now = 0;

  /** @param startsWithOne whether the first answer is awaited. */
  constructor(slots: number, ramp: Ramp, startsWithOne = true) {
    this.#slots = slots;
    this.#ramp = ramp;
    this.#startsWithOne = startsWithOne;
  }

  get limit(): number | undefined {
    if (!this.#isLimited) {
      return undefined;
    }
    const limit =
      this.#goodAnswers === 0 ? 1 : this.#ramp(this.#goodAnswers, this.#now - this.#grewAt, this.#slots);
    this.#isLimited = limit !== undefined && limit < this.#slots;
    return this.#isLimited ? Math.floor(limit ?? 1) : undefined;
  }

  restart(_reason: 'started' | 'ejected', now: number): void {
    this.#attempts.clear();
    this.#isLimited = this.#startsWithOne;
    this.#goodAnswers = 0;
    this.#grewAt = now;
  }

  available(now: number): number {
    this.#now = now;
    const { limit } = this;
    return limit === undefined ? Number.POSITIVE_INFINITY : Math.max(0, limit - this.#attempts.size);
  }

  begin(attemptId: string, now: number): void {
    this.#now = now;
    if (this.#isLimited) {
      this.#attempts.add(attemptId);
    }
  }

  recordAnswer(attemptId: string): void {
    if (this.#attempts.delete(attemptId)) {
      this.#grewAt = this.#goodAnswers === 0 ? this.#now : this.#grewAt;
      this.#goodAnswers += 1;
    }
  }

  recordFailure(attemptId: string): void {
    this.#attempts.delete(attemptId);
    this.#goodAnswers = 0;
  }

  cancel(attemptId: string): void {
    this.#attempts.delete(attemptId);
  }
}

/** Number n for which n rounds with a limit that grows by one each take this many answers. */
function roundsOf(goodAnswers: number): number {
  return (Math.sqrt(8 * goodAnswers + 1) - 1) / 2;
}

/** Rules by which a server that returns gets requests. */
export const paceRules: Readonly<Record<string, PaceFactory>> = {
  'full load at once': (slots) => new RampPace(slots, () => undefined, false),
  'one request, then full load': (slots) => new RampPace(slots, () => undefined),
  'slow start by time, 3 s': (slots) =>
    new RampPace(slots, (_good, milliseconds) => 1 + (slots * milliseconds) / RAMP_MILLISECONDS),
  'additive increase': (slots) => new RampPace(slots, (good) => 1 + roundsOf(good)),
  'by answers and peers': (slots, onDidChange) => new ServerPace(slots, onDidChange),
};
