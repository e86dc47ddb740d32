import type { ProcessingTimeEstimate } from './processingTimes.js';

/** Weight of a new sample in the smoothed time of a server. */
const SMOOTHING = 0.15;
/** Requests that the long-term time reaches back, from which keys are shared out: they differ by a factor of ten. */
const LONG_TERM_REQUESTS = 50;
/** Factor between recent and long-term time beyond which the server itself has changed. */
const CHANGE_FACTOR = 1.8;
/** Weight of a new sample in the smoothed share of failures. */
const FAILURE_SMOOTHING = 0.2;
/** Factor by which a server that has just started is slower. */
const COLD_FACTOR = 2;
/** Time for which a server that does not answer is avoided, in milliseconds; doubles with each silence. */
const FIRST_AVOIDANCE_MILLISECONDS = 400;
const LONGEST_AVOIDANCE_MILLISECONDS = 3_200;
/** Weight of failures in the expected cost of a server: one that fails always counts as this many times slower. */
const FAILURE_WEIGHT = 6;

/** How an attempt at a server ended, as far as its load and health are concerned. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'unreachable' | 'silent' | 'cancelled';

/** An attempt at a server. */
interface Attempt {
  readonly begunAt: number;
  /** When the server began to work on it; undefined while it waits in the server's queue. */
  startedAt: number | undefined;
}

/** What is known of one server from the attempts made at it. */
export class ServerStatistics {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Attempts that have not ended, the oldest first. */
  readonly #attempts = new Map<string, Attempt>();
  #smoothedMilliseconds: number;
  #longTermMilliseconds = 0;
  #learned = 0;
  #failureShare = 0;
  #avoidUntil = 0;
  #avoidance = FIRST_AVOIDANCE_MILLISECONDS;
  #lastAnsweredAt = Number.NEGATIVE_INFINITY;
  readonly #coldUntil: number;

  /** @param coldUntil time until which the server is slow after its start. */
  constructor(
    id: string,
    availabilityZone: string,
    slots: number,
    typicalMilliseconds: number,
    coldUntil: number,
  ) {
    this.id = id;
    this.availabilityZone = availabilityZone;
    this.slots = slots;
    this.#smoothedMilliseconds = typicalMilliseconds;
    this.#coldUntil = coldUntil;
  }

  /** Attempts that have not ended. */
  get inFlight(): number {
    return this.#attempts.size;
  }

  /** Time that a request takes at this server once it has left the queue, in milliseconds. */
  expectedMilliseconds(now: number): number {
    return this.#smoothedMilliseconds * (now < this.#coldUntil ? COLD_FACTOR : 1);
  }

  /** Time that a request takes on average over some dozens of requests; undefined before the first answer. */
  longTermTime(now: number): ProcessingTimeEstimate | undefined {
    const factor = now < this.#coldUntil ? COLD_FACTOR : 1;
    return this.#learned === 0
      ? undefined
      : { milliseconds: this.#longTermMilliseconds * factor, sampleCount: this.#learned };
  }

  /** Expected time weighted by how often the server fails. */
  expectedCost(now: number): number {
    return this.expectedMilliseconds(now) * (1 + FAILURE_WEIGHT * this.#failureShare);
  }

  /** Time until an avoided server is tried again, in milliseconds. */
  avoidedMilliseconds(now: number): number {
    return Math.max(0, this.#avoidUntil - now);
  }

  /** Whether the server stays out of use because it did not answer a short time ago. */
  isAvoided(now: number): boolean {
    return now < this.#avoidUntil;
  }

  /** Begins an attempt. One beyond the server's slots waits there for another to end. */
  begin(attemptId: string, now: number): void {
    const isQueued = this.#attempts.size >= this.slots;
    this.#attempts.set(attemptId, { begunAt: now, startedAt: isQueued ? undefined : now });
  }

  /** Ends an attempt. @returns the time that the server worked on it, in milliseconds, where it is known. */
  end(attemptId: string, use: AttemptOutcome, now: number): number | undefined {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) {
      return undefined;
    }
    this.#attempts.delete(attemptId);
    const { begunAt, startedAt } = attempt;
    const milliseconds = startedAt === undefined ? undefined : now - startedAt;
    this.#record(use, begunAt, milliseconds, now);
    const first = [...this.#attempts.values()]
      .slice(0, this.slots)
      .find((other) => other.startedAt === undefined);
    if (first !== undefined) {
      first.startedAt = now;
    }
    return milliseconds;
  }

  #record(use: AttemptOutcome, begunAt: number, milliseconds: number | undefined, now: number): void {
    switch (use) {
      case 'answered':
        this.#avoidance = FIRST_AVOIDANCE_MILLISECONDS;
        this.#lastAnsweredAt = now;
        this.#failureShare *= 1 - FAILURE_SMOOTHING;
        if (milliseconds !== undefined) {
          this.#learn(milliseconds / (now < this.#coldUntil ? COLD_FACTOR : 1));
        }
        return;
      case 'failed':
      case 'refused':
        this.#failureShare += FAILURE_SMOOTHING * (1 - this.#failureShare);
        return;
      case 'silent':
        this.#learn(milliseconds ?? now - begunAt);
        this.#failureShare += FAILURE_SMOOTHING * (1 - this.#failureShare);
        // A server that answered others in the meantime is slow, not gone.
        if (this.#lastAnsweredAt < begunAt) {
          this.#avoid(now);
        }
        return;
      case 'unreachable':
        this.#avoid(now);
        return;
      case 'cancelled':
        // A lower bound: the server took at least this long.
        if (milliseconds !== undefined && milliseconds > this.#smoothedMilliseconds) {
          this.#learn(milliseconds);
        }
    }
  }

  #learn(milliseconds: number): void {
    this.#smoothedMilliseconds += SMOOTHING * (milliseconds - this.#smoothedMilliseconds);
    this.#learned = Math.min(this.#learned + 1, LONG_TERM_REQUESTS);
    this.#longTermMilliseconds += (milliseconds - this.#longTermMilliseconds) / this.#learned;
    const change = this.#smoothedMilliseconds / this.#longTermMilliseconds;
    if (change > CHANGE_FACTOR || change < 1 / CHANGE_FACTOR) {
      this.#longTermMilliseconds = this.#smoothedMilliseconds;
    }
  }

  #avoid(now: number): void {
    if (now >= this.#avoidUntil) {
      this.#avoidUntil = now + this.#avoidance;
      this.#avoidance = Math.min(2 * this.#avoidance, LONGEST_AVOIDANCE_MILLISECONDS);
    }
  }
}
