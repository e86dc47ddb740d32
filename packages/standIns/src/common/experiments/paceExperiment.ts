import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { PaceFactory } from '@hickoryhoist/dispatch/common/serverPace.js';
import type { AttemptOutcome } from '@hickoryhoist/dispatch/common/serverStatistics.js';
import { type SlotDecision, SlotScheduler } from '@hickoryhoist/dispatch/common/slotScheduler.js';

const SERVERS = 20;
const SLOTS = 6;
const MEAN_MILLISECONDS = 250;
const GOAL_MILLISECONDS = 1_000;
const DEADLINE_MILLISECONDS = 6_000;
const DURATION_MILLISECONDS = 16_000;
const STEP_MILLISECONDS = 5;
const TICK_MILLISECONDS = 50;
/** A request to a server that is down fails after this time. */
const CONNECT_MILLISECONDS = 10;
/** A cold server is slower by this factor, and crashes at more starts than this within a second. */
const COLD_FACTOR = 2;
const COLD_STARTS_PER_SECOND = 12;
const COLD_MILLISECONDS = 3_000;
/** Time that a crashed server needs to return. */
const CRASH_MILLISECONDS = 1_000;
/** The service is at full use again once the returned servers complete this share of what their peers do. */
const FULL_USE_RATIO = 0.9;
const FULL_USE_WINDOW_MILLISECONDS = 500;

/** Behaviour of the first servers of the service; the others are always up. */
export interface PacePattern {
  readonly affected: number;
  /** When they are down, in milliseconds from the start. */
  readonly isDown: (now: number) => boolean;
  /** When they last return. */
  readonly returnsAt: number;
  readonly returnsCold: boolean;
  /** Factor on their processing times. */
  readonly slowness: (now: number) => number;
}

export const pacePatterns: Readonly<Record<string, PacePattern>> = {
  'one cold server': pattern(1, (now) => now >= 2_000 && now < 4_000, 4_000, true),
  'half comes back at once': pattern(SERVERS / 2, (now) => now >= 2_000 && now < 4_000, 4_000, true),
  'three flap': pattern(3, (now) => now < 10_000 && now % 2_500 >= 1_500, 10_000, false),
  'one is only slow': pattern(
    1,
    (now) => now >= 2_000 && now < 3_000,
    10_000,
    false,
    (now) => (now >= 3_000 && now < 10_000 ? 6 : 1),
  ),
};

function pattern(
  affected: number,
  isDown: (now: number) => boolean,
  returnsAt: number,
  returnsCold: boolean,
  slowness: (now: number) => number = () => 1,
): PacePattern {
  return { affected, isDown, returnsAt, returnsCold, slowness };
}

export interface PaceResult {
  readonly offered: number;
  readonly inGoal: number;
  readonly refused: number;
  /** Requests that failed at a server. */
  readonly failed: number;
  readonly crashes: number;
  /** Time from the return until the returned servers are at full use; undefined if they are not. */
  readonly fullUseMilliseconds: number | undefined;
}

interface Running {
  readonly serverIndex: number;
  readonly startedAt: number;
  readonly arrivedAt: number;
  readonly endsAt: number;
  readonly outcome: AttemptOutcome;
}

/** Plays a pattern against the production scheduler. */
export class PaceExperiment {
  readonly #random: RandomSource;
  readonly #pattern: PacePattern;
  readonly #scheduler: SlotScheduler;
  readonly #running = new Map<string, Running>();
  readonly #arrivals = new Map<string, number>();
  readonly #coldUntil = Array.from({ length: SERVERS }, () => 0);
  readonly #downUntil = Array.from({ length: SERVERS }, () => 0);
  readonly #completions: { serverIndex: number; at: number }[] = [];
  #inGoal = 0;
  #refused = 0;
  #failed = 0;
  #crashes = 0;

  constructor(seed: number, pacePattern: PacePattern, createPace: PaceFactory) {
    this.#random = new RandomSource(seed);
    this.#pattern = pacePattern;
    this.#scheduler = new SlotScheduler(undefined, createPace);
  }

  /** @param load offered requests as a multiple of the capacity. @param isKeyed whether each key has one owner. */
  run(load: number, isKeyed: boolean): PaceResult {
    const servers = Array.from({ length: SERVERS }, (_unused, index) => ({
      id: index.toString(),
      incarnation: 1,
      availabilityZone: 'a',
      slots: SLOTS,
      warmupMilliseconds: 0,
    }));
    this.#scheduler.setServers(servers, 0);
    const interval = MEAN_MILLISECONDS / (SERVERS * SLOTS * load);
    let nextAt = 0;
    for (let now = 0; now < DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
      this.#endRequests(now);
      for (; nextAt <= now; nextAt += this.#random.exponential(interval)) {
        const id = this.#arrivals.size.toString();
        this.#arrivals.set(id, now);
        const request = {
          id,
          serverId: isKeyed ? this.#random.integer(0, SERVERS - 1).toString() : undefined,
          excludedIds: [],
          availabilityZone: 'a',
          rank: 1,
          bodyBytes: 0,
          goalAt: now + GOAL_MILLISECONDS,
          deadlineAt: now + DEADLINE_MILLISECONDS,
        };
        this.#apply(this.#scheduler.submit(request, now), now);
      }
      if (now % TICK_MILLISECONDS === 0) {
        this.#apply(this.#scheduler.tick(now), now);
      }
    }
    return {
      offered: this.#arrivals.size,
      inGoal: this.#inGoal,
      refused: this.#refused,
      failed: this.#failed,
      crashes: this.#crashes,
      fullUseMilliseconds: this.#fullUseMilliseconds(),
    };
  }

  #apply(decisions: readonly SlotDecision[], now: number): void {
    for (const decision of decisions) {
      if (decision.kind === 'granted') {
        this.#start(decision.slotRequestId, Number(decision.serverId), now);
      } else {
        this.#refused += 1;
      }
    }
  }

  #start(id: string, serverIndex: number, now: number): void {
    const arrivedAt = this.#arrivals.get(id) ?? now;
    const isUp = this.#isUp(serverIndex, now);
    const isAffected = serverIndex < this.#pattern.affected;
    const factor =
      (now < (this.#coldUntil[serverIndex] ?? 0) ? COLD_FACTOR : 1) *
      (isAffected ? this.#pattern.slowness(now) : 1);
    const others = [...this.#running.values()].filter((other) => other.serverIndex === serverIndex);
    // One request may be queued at the server until a slot is free.
    const slotAt = others.length < SLOTS ? now : Math.min(...others.map(({ endsAt }) => endsAt));
    const milliseconds = this.#random.integer(MEAN_MILLISECONDS / 2, 1.5 * MEAN_MILLISECONDS) * factor;
    this.#running.set(id, {
      serverIndex,
      startedAt: now,
      arrivedAt,
      endsAt: isUp ? slotAt + milliseconds : now + CONNECT_MILLISECONDS,
      outcome: isUp ? 'answered' : 'unreachable',
    });
    this.#crashIfOverloaded(serverIndex, now);
  }

  #isUp(serverIndex: number, now: number): boolean {
    const isDown = serverIndex < this.#pattern.affected && this.#pattern.isDown(now);
    if (isDown && this.#pattern.returnsCold) {
      this.#coldUntil[serverIndex] = this.#pattern.returnsAt + COLD_MILLISECONDS;
    }
    return !isDown && now >= (this.#downUntil[serverIndex] ?? 0);
  }

  #crashIfOverloaded(serverIndex: number, now: number): void {
    const here = [...this.#running].filter(([, running]) => running.serverIndex === serverIndex);
    const starts =
      here.filter(([, { startedAt }]) => startedAt > now - 1_000).length +
      this.#completions.filter(
        (completion) => completion.serverIndex === serverIndex && completion.at > now - 500,
      ).length;
    if (
      now >= (this.#coldUntil[serverIndex] ?? 0) ||
      !this.#isUp(serverIndex, now) ||
      starts <= COLD_STARTS_PER_SECOND
    ) {
      return;
    }
    this.#crashes += 1;
    this.#downUntil[serverIndex] = now + CRASH_MILLISECONDS;
    this.#coldUntil[serverIndex] = now + CRASH_MILLISECONDS + COLD_MILLISECONDS;
    for (const [id, running] of here) {
      this.#running.set(id, { ...running, endsAt: now, outcome: 'failed' });
    }
  }

  #endRequests(now: number): void {
    for (const [id, { endsAt, outcome, arrivedAt, serverIndex }] of [...this.#running]) {
      if (endsAt <= now) {
        this.#running.delete(id);
        if (outcome === 'answered') {
          this.#completions.push({ serverIndex, at: now });
          this.#inGoal += now - arrivedAt <= GOAL_MILLISECONDS ? 1 : 0;
        } else {
          this.#failed += 1;
        }
        this.#apply(this.#scheduler.finish(id, outcome, now), now);
      }
    }
  }

  #fullUseMilliseconds(): number | undefined {
    const { affected, returnsAt } = this.#pattern;
    const rate = (from: number, isAffected: boolean): number =>
      this.#completions.filter(
        ({ serverIndex, at }) =>
          serverIndex < affected === isAffected && at >= from && at < from + FULL_USE_WINDOW_MILLISECONDS,
      ).length / (isAffected ? affected : SERVERS - affected);
    for (let from = returnsAt; from < DURATION_MILLISECONDS - FULL_USE_WINDOW_MILLISECONDS; from += 100) {
      if (rate(from, true) >= FULL_USE_RATIO * rate(from, false)) {
        return from - returnsAt;
      }
    }
    return undefined;
  }
}
