import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import {
  type SlotRequest,
  type SlotDecision,
  SlotScheduler,
} from '@hickoryhoist/dispatch/common/slotScheduler.js';
import { estimateProcessingTimes } from '@hickoryhoist/dispatch/common/processingTimes.js';
import { LAST_KEY, type OwnedRange, findRange } from '@hickoryhoist/keyownership/common/keyAssignment.js';
import {
  type CandidateServer,
  planUnownedKeys,
  planMoves,
} from '@hickoryhoist/keyownership/common/keyPlanner.js';
import { KeyTrafficWindow } from '@hickoryhoist/keyownership/common/keyTrafficWindow.js';

/** Part of the requests that goes to a few keys that lie side by side, for a time. */
export interface Crowd {
  readonly fromMilliseconds: number;
  readonly toMilliseconds: number;
  readonly share: number;
  readonly firstKey: number;
  readonly keys: number;
}

/** One service divided by key, and the load that callers offer. */
export interface KeyBalanceOptions {
  readonly seed: number;
  readonly servers: number;
  readonly slots: number;
  /** Mean time of a request at a server of speed 1, in milliseconds. */
  readonly workMilliseconds: number;
  readonly requestsPerSecond: number;
  readonly goalMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly durationMilliseconds: number;
  readonly crowds: readonly Crowd[];
  readonly mostMoves: number;
}

const look: KeyBalanceOptions = {
  seed: 1,
  servers: 67,
  slots: 2,
  workMilliseconds: 250,
  requestsPerSecond: 320,
  goalMilliseconds: 1_000,
  deadlineMilliseconds: 4_000,
  durationMilliseconds: 33_000,
  crowds: [{ fromMilliseconds: 0, toMilliseconds: 40_000, share: 0.2, firstKey: 24_000, keys: 2_000 }],
  mostMoves: 24,
};
const CROWD_MILLISECONDS = 5_000;
const CROWDS = [0, 1, 2, 3, 4, 5, 6];

/** Load patterns: a fifth of the requests goes to neighbouring keys all day, or crowds follow one another. */
export const keyLoadPatterns = {
  'steady, 60 % load': look,
  'steady, 75 % load': { ...look, requestsPerSecond: 400 },
  'steady, 90 % load': { ...look, requestsPerSecond: 480 },
  'steady, 60 % load, 136 servers with 4 slots': {
    ...look,
    servers: 136,
    slots: 4,
    requestsPerSecond: 1_300,
  },
  'crowds, 75 % load': {
    ...look,
    requestsPerSecond: 400,
    crowds: CROWDS.map((number) => ({
      fromMilliseconds: number * CROWD_MILLISECONDS,
      toMilliseconds: (number + 1) * CROWD_MILLISECONDS,
      share: 0.3,
      firstKey: 5_000 + number * 8_000,
      keys: 200,
    })),
  },
} as const satisfies Readonly<Record<string, KeyBalanceOptions>>;

/** Shares are of all requests that callers made, their returns not counted. */
export interface KeyBalanceResult {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly movesPerSecond: number;
  /** Ranges for each server at the end. */
  readonly rangesPerServer: number;
}

/** Speeds of servers relative to their mean. */
const SPEEDS: readonly number[] = [0.6, 0.8, 1, 1, 1.1, 1.2, 1.3];
/** Standard deviation of the logarithm of the work. */
const WORK_SPREAD = 0.7;
const BALANCE_MILLISECONDS = 300;
const REPORT_MILLISECONDS = 400;
const TICK_MILLISECONDS = 50;
/** Time of a hand-over apart from the work that ends first, in milliseconds. */
const HAND_OVER_MILLISECONDS = 30;
/** Time at the start that is not counted, in milliseconds. */
const SETTLING_MILLISECONDS = 3_000;

interface OfferedRequest {
  readonly key: number;
  readonly offeredAt: number;
  readonly work: number;
  hasReturned: boolean;
}

interface SimulatedServer {
  readonly id: string;
  readonly speed: number;
  running: number;
  readonly queue: { askId: string; request: OfferedRequest }[];
}

/** Plays the product's planner and slot scheduler against simulated servers, with simulated time and no I/O. */
export class KeyBalanceExperiment {
  readonly #options: KeyBalanceOptions;
  readonly #random: RandomSource;
  readonly #scheduler = new SlotScheduler();
  readonly #servers = new Map<string, SimulatedServer>();
  readonly #traffic = new KeyTrafficWindow();
  readonly #waiting = new Map<string, { request: OfferedRequest; serverId: string }>();
  readonly #moving = new Map<OwnedRange, number>();
  #events: { at: number; run: () => void }[] = [];
  #ranges: readonly OwnedRange[] = [];
  #reported: number[] = [];
  #now = 0;
  #nextAsk = 0;
  #moves = 0;
  readonly #tally = { offered: 0, inTime: 0, late: 0, refused: 0 };

  constructor(options: KeyBalanceOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
  }

  run(): KeyBalanceResult {
    const { servers, slots, durationMilliseconds } = this.#options;
    for (let number = 0; number < servers; number += 1) {
      const id = `server-${number.toString().padStart(3, '0')}`;
      this.#servers.set(id, { id, speed: this.#random.pick(SPEEDS), running: 0, queue: [] });
    }
    this.#scheduler.setServers(
      [...this.#servers.keys()].map((id) => ({
        id,
        incarnation: 1,
        availabilityZone: 'zone-1',
        slots,
        warmupMilliseconds: 0,
      })),
      0,
    );
    this.#ranges = planUnownedKeys([], this.#planned()).map(({ from, to, owner }) => ({
      from,
      to,
      ownerId: owner.id,
      ownerIncarnation: 1,
      ownerAddress: owner.address,
      fence: 1,
    }));
    this.#every(BALANCE_MILLISECONDS, () => {
      this.#balance();
    });
    this.#every(REPORT_MILLISECONDS, () => {
      this.#traffic.record(this.#reported, this.#now);
      this.#reported = [];
    });
    this.#every(TICK_MILLISECONDS, () => {
      this.#deliver(this.#scheduler.tick(this.#now));
    });
    this.#offerNext();
    while (this.#events.length > 0 && this.#now < durationMilliseconds) {
      this.#events.sort((left, right) => left.at - right.at);
      const event = this.#events.shift();
      this.#now = event?.at ?? this.#now;
      event?.run();
    }
    const { offered, inTime, late, refused } = this.#tally;
    return {
      inTime: inTime / offered,
      late: late / offered,
      refused: refused / offered,
      rangesPerServer: this.#ranges.length / servers,
      movesPerSecond: (this.#moves * 1_000) / durationMilliseconds,
    };
  }

  #at(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  #every(milliseconds: number, run: () => void): void {
    this.#at(this.#now + milliseconds, () => {
      run();
      this.#every(milliseconds, run);
    });
  }

  #offerNext(): void {
    this.#at(this.#now + this.#random.exponential(1_000 / this.#options.requestsPerSecond), () => {
      const work = this.#options.workMilliseconds * this.#logNormal();
      this.#ask({ key: this.#drawKey(), offeredAt: this.#now, work, hasReturned: false });
      this.#offerNext();
    });
  }

  #drawKey(): number {
    for (const { fromMilliseconds, toMilliseconds, share, firstKey, keys } of this.#options.crowds) {
      if (this.#now >= fromMilliseconds && this.#now < toMilliseconds && this.#random.fraction() < share) {
        return this.#random.integer(firstKey, firstKey + keys - 1);
      }
    }
    return this.#random.integer(0, LAST_KEY);
  }

  /** Log-normal number with mean 1. */
  #logNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.fraction());
    return Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
  }

  #ask(request: OfferedRequest): void {
    const range = findRange(this.#ranges, request.key);
    const free = range === undefined ? undefined : this.#moving.get(range);
    if (range === undefined || free !== undefined) {
      this.#at((free ?? this.#now) + 1, () => {
        this.#ask(request);
      });
      return;
    }
    this.#reported.push(request.key);
    this.#nextAsk += 1;
    const id = this.#nextAsk.toString();
    this.#waiting.set(id, { request, serverId: range.ownerId });
    const ask: SlotRequest = {
      id,
      serverId: range.ownerId,
      excludedIds: [],
      availabilityZone: 'zone-1',
      rank: 1,
      bodyBytes: 0,
      goalAt: request.offeredAt + this.#options.goalMilliseconds,
      deadlineAt: request.offeredAt + this.#options.deadlineMilliseconds,
    };
    this.#deliver(this.#scheduler.submit(ask, this.#now));
  }

  #deliver(decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const waiting = this.#waiting.get(decision.slotRequestId);
      this.#waiting.delete(decision.slotRequestId);
      if (waiting === undefined) {
        continue;
      }
      switch (decision.kind) {
        case 'granted':
          this.#serve(decision.serverId, decision.slotRequestId, waiting.request);
          break;
        case 'refused':
          this.#refuse(waiting.request, decision.retryAfterMilliseconds);
      }
    }
  }

  #refuse(request: OfferedRequest, retryAfterMilliseconds: number): void {
    if (request.hasReturned) {
      this.#count(request, 'refused');
      return;
    }
    request.hasReturned = true;
    this.#at(this.#now + retryAfterMilliseconds, () => {
      this.#ask(request);
    });
  }

  #serve(serverId: string, askId: string, request: OfferedRequest): void {
    const server = this.#servers.get(serverId);
    if (server === undefined) {
      return;
    }
    if (server.running >= this.#options.slots) {
      server.queue.push({ askId, request });
      return;
    }
    server.running += 1;
    this.#at(this.#now + request.work / server.speed, () => {
      server.running -= 1;
      const next = server.queue.shift();
      if (next !== undefined) {
        this.#serve(serverId, next.askId, next.request);
      }
      const isInTime = this.#now - request.offeredAt <= this.#options.goalMilliseconds;
      this.#count(request, isInTime ? 'inTime' : 'late');
      this.#deliver(this.#scheduler.finish(askId, 'answered', this.#now));
    });
  }

  #count(request: OfferedRequest, outcome: 'inTime' | 'late' | 'refused'): void {
    if (request.offeredAt >= SETTLING_MILLISECONDS) {
      this.#tally.offered += 1;
      this.#tally[outcome] += 1;
    }
  }

  #planned(): readonly CandidateServer[] {
    const ids = [...this.#servers.keys()];
    const times = estimateProcessingTimes(ids, this.#scheduler.processingTimes(this.#now));
    return ids.map((id) => ({
      id,
      incarnation: 1,
      address: id,
      requestsPerSecond: (this.#options.slots * 1_000) / (times.get(id) ?? this.#options.workMilliseconds),
    }));
  }

  #balance(): void {
    const destined = this.#ranges.filter((range) => !this.#moving.has(range));
    const traffic = this.#traffic.traffic(this.#now);
    for (const { range, from, to, newOwnerId } of planMoves(
      destined,
      this.#planned(),
      traffic,
      this.#options.mostMoves,
    )) {
      if (!this.#ranges.includes(range)) {
        continue;
      }
      this.#moves += 1;
      const moving = { ...range, from, to };
      const rest = [
        { ...range, to: from - 1 },
        { ...range, from: to + 1 },
      ].filter((piece) => piece.from <= piece.to);
      this.#ranges = this.#ranges
        .flatMap((other) => (other === range ? [...rest, moving] : [other]))
        .sort((left, right) => left.from - right.from);
      const freeAt = this.#now + HAND_OVER_MILLISECONDS + this.#options.workMilliseconds * this.#logNormal();
      this.#moving.set(moving, freeAt);
      this.#at(freeAt, () => {
        this.#moving.delete(moving);
        this.#ranges = this.#ranges.map((other) =>
          other === moving ? { ...moving, ownerId: newOwnerId } : other,
        );
      });
    }
  }
}
