import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { SlotRequest } from '@hickoryhoist/dispatch/common/slotRequest.js';
import { type SlotDecision, SlotScheduler } from '@hickoryhoist/dispatch/common/slotScheduler.js';
import { estimateProcessingTimes } from '@hickoryhoist/dispatch/common/processingTimes.js';
import { HotKeyMoves } from '@hickoryhoist/keyownership/common/hotKeyMoves.js';
import {
  createOwnedRange,
  LAST_KEY,
  type OwnedRange,
  findRange,
} from '@hickoryhoist/keyownership/common/keyAssignment.js';
import {
  type CandidateServer,
  type PlannedMove,
  planUnownedKeys,
  planMoves,
} from '@hickoryhoist/keyownership/common/keyPlanner.js';
import { KeyTrafficWindow } from '@hickoryhoist/keyownership/common/keyTrafficWindow.js';

/** Range of adjacent keys that receives a share of all requests during a time interval. */
export interface HotKeyRange {
  readonly fromMilliseconds: number;
  readonly toMilliseconds: number;
  /** Fraction of all requests that goes to this range. */
  readonly share: number;
  readonly firstKey: number;
  readonly keyCount: number;
}

/** A keyed service and its offered load. */
export interface KeyBalanceOptions {
  readonly seed: number;
  readonly servers: number;
  readonly slots: number;
  /** Mean time of a request at a server of speed 1, in milliseconds. */
  readonly workMilliseconds: number;
  readonly requestsPerSecond: number;
  /** Latency up to which a request counts as in time, in milliseconds. */
  readonly goalMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly durationMilliseconds: number;
  readonly hotRanges: readonly HotKeyRange[];
  /** Maximum number of moves planned per balancing step. */
  readonly maxMoves: number;
  readonly rules: HotKeyRules;
}

/** What is done about keys that get more requests than their owners serve. */
export interface HotKeyRules {
  /** Whether they are moved to faster servers. */
  readonly movesHotKeys: boolean;
  /** Whether the scheduler is told the keys, so that others of the same server do not wait behind them. */
  readonly sharesByKey: boolean;
}

export const hotKeyRules = {
  'as any other key': { movesHotKeys: false, sharesByKey: false },
  'moved to a faster server': { movesHotKeys: true, sharesByKey: false },
  'fair shares between keys': { movesHotKeys: false, sharesByKey: true },
  both: { movesHotKeys: true, sharesByKey: true },
} as const satisfies Readonly<Record<string, HotKeyRules>>;

const baseOptions: KeyBalanceOptions = {
  seed: 1,
  servers: 67,
  slots: 2,
  workMilliseconds: 250,
  requestsPerSecond: 320,
  goalMilliseconds: 1_000,
  deadlineMilliseconds: 4_000,
  durationMilliseconds: 33_000,
  hotRanges: [{ fromMilliseconds: 0, toMilliseconds: 40_000, share: 0.2, firstKey: 24_000, keyCount: 2_000 }],
  maxMoves: 24,
  rules: hotKeyRules.both,
};
const HOT_RANGE_MILLISECONDS = 5_000;
const HOT_RANGE_INDEXES = [0, 1, 2, 3, 4, 5, 6];

/** One key with most of its service's requests for 5 s, twice. */
function singleHotKeys(share: number): readonly HotKeyRange[] {
  return [
    { fromMilliseconds: 6_000, toMilliseconds: 11_000, share, firstKey: 9_000, keyCount: 1 },
    { fromMilliseconds: 14_000, toMilliseconds: 19_000, share, firstKey: 42_000, keyCount: 1 },
  ];
}

/** Load patterns with one hot key range that receives a fifth of the requests, or with a hot range that moves. */
export const keyLoadPatterns = {
  'steady, 60 % load': baseOptions,
  'steady, 75 % load': { ...baseOptions, requestsPerSecond: 400 },
  'steady, 90 % load': { ...baseOptions, requestsPerSecond: 480 },
  'steady, 60 % load, 136 servers with 4 slots': {
    ...baseOptions,
    servers: 136,
    slots: 4,
    requestsPerSecond: 1_300,
  },
  'crowds, 75 % load': {
    ...baseOptions,
    requestsPerSecond: 400,
    hotRanges: HOT_RANGE_INDEXES.map((index) => ({
      fromMilliseconds: index * HOT_RANGE_MILLISECONDS,
      toMilliseconds: (index + 1) * HOT_RANGE_MILLISECONDS,
      share: 0.3,
      firstKey: 5_000 + index * 8_000,
      keyCount: 200,
    })),
  },
} as const satisfies Readonly<Record<string, KeyBalanceOptions>>;

/** Load patterns with a single key that gets much of the traffic of its service. */
export const hotKeyLoadPatterns = {
  'one hot key, 21 servers': {
    ...baseOptions,
    servers: 21,
    slots: 4,
    workMilliseconds: 75,
    requestsPerSecond: 500,
    goalMilliseconds: 250,
    deadlineMilliseconds: 1_000,
    durationMilliseconds: 22_000,
    hotRanges: singleHotKeys(0.3),
  },
  'one hot key, 104 servers': {
    ...baseOptions,
    servers: 104,
    slots: 6,
    workMilliseconds: 235,
    requestsPerSecond: 1_150,
    goalMilliseconds: 850,
    deadlineMilliseconds: 3_300,
    durationMilliseconds: 22_000,
    hotRanges: singleHotKeys(0.2),
  },
} as const satisfies Readonly<Record<string, KeyBalanceOptions>>;

/** Numbers of requests by outcome. */
export interface KeyOutcomes {
  readonly offered: number;
  readonly inTime: number;
  readonly refused: number;
}

/** Result of one run. Outcomes are fractions of the offered requests; retries don't count as further requests. */
export interface KeyBalanceResult {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Of the requests that were offered while keys were hot: those for hot keys, and those for other keys of their owners. */
  readonly hot: KeyOutcomes;
  readonly neighbours: KeyOutcomes;
  readonly movesPerSecond: number;
  /** Mean number of ranges per server at the end. */
  readonly rangesPerServer: number;
}

/** Speeds of servers relative to their mean. */
const SPEEDS: readonly number[] = [0.6, 0.8, 1, 1, 1.1, 1.2, 1.3];
/** Standard deviation of the logarithm of a request's work. */
const LOG_WORK_STANDARD_DEVIATION = 0.7;
const BALANCE_MILLISECONDS = 300;
const REPORT_MILLISECONDS = 400;
const TICK_MILLISECONDS = 50;
/** Duration of an ownership transfer, excluding the wait for running requests, in milliseconds. */
const OWNERSHIP_TRANSFER_MILLISECONDS = 30;
/** Requests offered before this time are excluded from the result, in milliseconds. */
const WARM_UP_MILLISECONDS = 3_000;

interface OfferedRequest {
  readonly key: number;
  readonly offeredAt: number;
  /** Processing time at a server of speed 1, in milliseconds. */
  readonly work: number;
  isRetry: boolean;
  /** Undefined if it is for a key that has no hot key beside it. */
  readonly part: 'hot' | 'neighbour' | undefined;
}

interface KeyedServerState {
  readonly id: string;
  readonly speed: number;
  running: number;
  readonly queue: { slotRequestId: string; request: OfferedRequest }[];
}

/** Runs the router's key planner and slot scheduler against simulated servers in simulated time, without I/O. */
export class KeyBalanceExperiment {
  readonly #options: KeyBalanceOptions;
  readonly #random: RandomSource;
  readonly #scheduler = new SlotScheduler();
  readonly #servers = new Map<string, KeyedServerState>();
  readonly #trafficWindow = new KeyTrafficWindow();
  readonly #pendingSlotRequests = new Map<string, { request: OfferedRequest; serverId: string }>();
  readonly #transferEndTimes = new Map<OwnedRange, number>();
  #events: { at: number; run: () => void }[] = [];
  #ranges: readonly OwnedRange[] = [];
  #unreportedKeys: number[] = [];
  #now = 0;
  #slotRequestCount = 0;
  #moveCount = 0;
  readonly #hotKeyMoves = new HotKeyMoves();
  readonly #parts = {
    hot: { offered: 0, inTime: 0, late: 0, refused: 0 },
    neighbour: { offered: 0, inTime: 0, late: 0, refused: 0 },
  };
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
    this.#ranges = planUnownedKeys([], this.#candidateServers()).map(({ from, to, owner }) =>
      createOwnedRange(from, to, owner, 1),
    );
    this.#scheduleEvery(BALANCE_MILLISECONDS, () => {
      this.#balance();
    });
    this.#scheduleEvery(REPORT_MILLISECONDS, () => {
      this.#trafficWindow.record(this.#unreportedKeys, this.#now);
      this.#unreportedKeys = [];
    });
    this.#scheduleEvery(TICK_MILLISECONDS, () => {
      this.#applyDecisions(this.#scheduler.tick(this.#now));
    });
    this.#scheduleNextRequest();
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
      hot: this.#parts.hot,
      neighbours: this.#parts.neighbour,
      rangesPerServer: this.#ranges.length / servers,
      movesPerSecond: (this.#moveCount * 1_000) / durationMilliseconds,
    };
  }

  #schedule(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  #scheduleEvery(milliseconds: number, run: () => void): void {
    this.#schedule(this.#now + milliseconds, () => {
      run();
      this.#scheduleEvery(milliseconds, run);
    });
  }

  #scheduleNextRequest(): void {
    this.#schedule(this.#now + this.#random.exponential(1_000 / this.#options.requestsPerSecond), () => {
      const work = this.#options.workMilliseconds * this.#drawLogNormal();
      const key = this.#drawKey();
      this.#requestSlot({ key, offeredAt: this.#now, work, isRetry: false, part: this.#partOf(key) });
      this.#scheduleNextRequest();
    });
  }

  #drawKey(): number {
    for (const { fromMilliseconds, toMilliseconds, share, firstKey, keyCount } of this.#options.hotRanges) {
      if (this.#now >= fromMilliseconds && this.#now < toMilliseconds && this.#random.fraction() < share) {
        return this.#random.integer(firstKey, firstKey + keyCount - 1);
      }
    }
    return this.#random.integer(0, LAST_KEY);
  }

  #partOf(key: number): OfferedRequest['part'] {
    const hot = this.#options.hotRanges.filter(
      ({ fromMilliseconds, toMilliseconds }) => this.#now >= fromMilliseconds && this.#now < toMilliseconds,
    );
    if (hot.some(({ firstKey, keyCount }) => key >= firstKey && key < firstKey + keyCount)) {
      return 'hot';
    }
    const owner = findRange(this.#ranges, key)?.ownerId;
    return hot.some(({ firstKey }) => findRange(this.#ranges, firstKey)?.ownerId === owner)
      ? 'neighbour'
      : undefined;
  }

  /** Draws from a log-normal distribution with mean 1. */
  #drawLogNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.fraction());
    return Math.exp(LOG_WORK_STANDARD_DEVIATION * normal - LOG_WORK_STANDARD_DEVIATION ** 2 / 2);
  }

  #requestSlot(request: OfferedRequest): void {
    const range = findRange(this.#ranges, request.key);
    const transferEndsAt = range === undefined ? undefined : this.#transferEndTimes.get(range);
    if (range === undefined || transferEndsAt !== undefined) {
      this.#schedule((transferEndsAt ?? this.#now) + 1, () => {
        this.#requestSlot(request);
      });
      return;
    }
    this.#unreportedKeys.push(request.key);
    this.#slotRequestCount += 1;
    const id = this.#slotRequestCount.toString();
    this.#pendingSlotRequests.set(id, { request, serverId: range.ownerId });
    const slotRequest: SlotRequest = {
      id,
      serverId: range.ownerId,
      key: this.#options.rules.sharesByKey ? request.key : undefined,
      excludedIds: [],
      availabilityZone: 'zone-1',
      rank: 1,
      bodyBytes: 0,
      goalAt: request.offeredAt + this.#options.goalMilliseconds,
      deadlineAt: request.offeredAt + this.#options.deadlineMilliseconds,
    };
    this.#applyDecisions(this.#scheduler.submit(slotRequest, this.#now));
  }

  #applyDecisions(decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const pending = this.#pendingSlotRequests.get(decision.slotRequestId);
      this.#pendingSlotRequests.delete(decision.slotRequestId);
      if (pending === undefined) {
        continue;
      }
      switch (decision.kind) {
        case 'granted':
          this.#serve(decision.serverId, decision.slotRequestId, pending.request);
          break;
        case 'refused':
          this.#handleRefusal(pending.request, decision.retryAfterMilliseconds);
      }
    }
  }

  #handleRefusal(request: OfferedRequest, retryAfterMilliseconds: number): void {
    if (request.isRetry) {
      this.#recordOutcome(request, 'refused');
      return;
    }
    request.isRetry = true;
    this.#schedule(this.#now + retryAfterMilliseconds, () => {
      this.#requestSlot(request);
    });
  }

  #serve(serverId: string, slotRequestId: string, request: OfferedRequest): void {
    const server = this.#servers.get(serverId);
    if (server === undefined) {
      return;
    }
    if (server.running >= this.#options.slots) {
      server.queue.push({ slotRequestId, request });
      return;
    }
    server.running += 1;
    this.#schedule(this.#now + request.work / server.speed, () => {
      server.running -= 1;
      const next = server.queue.shift();
      if (next !== undefined) {
        this.#serve(serverId, next.slotRequestId, next.request);
      }
      const isInTime = this.#now - request.offeredAt <= this.#options.goalMilliseconds;
      this.#recordOutcome(request, isInTime ? 'inTime' : 'late');
      this.#applyDecisions(this.#scheduler.finish(slotRequestId, 'answered', this.#now));
    });
  }

  #recordOutcome(request: OfferedRequest, outcome: 'inTime' | 'late' | 'refused'): void {
    if (request.offeredAt >= WARM_UP_MILLISECONDS) {
      const part = request.part === undefined ? undefined : this.#parts[request.part];
      for (const tally of part === undefined ? [this.#tally] : [this.#tally, part]) {
        tally.offered += 1;
        tally[outcome] += 1;
      }
    }
  }

  #candidateServers(): readonly CandidateServer[] {
    const ids = [...this.#servers.keys()];
    const processingTimes = estimateProcessingTimes(ids, this.#scheduler.processingTimes(this.#now));
    return ids.map((id) => {
      const processingMilliseconds = processingTimes.get(id) ?? this.#options.workMilliseconds;
      return {
        id,
        incarnation: 1,
        address: id,
        requestsPerSecond: (this.#options.slots * 1_000) / processingMilliseconds,
        processingMilliseconds,
      };
    });
  }

  #balance(): void {
    const servers = this.#candidateServers();
    const traffic = this.#trafficWindow.traffic(this.#now);
    const newest = this.#trafficWindow.newestTraffic(this.#now);
    const isStable = (range: OwnedRange): boolean => !this.#transferEndTimes.has(range);
    if (this.#options.rules.movesHotKeys) {
      const ranges = this.#ranges.filter(isStable);
      for (const move of this.#hotKeyMoves.nextMoves(this.#now, ranges, servers, traffic, newest)) {
        this.#hotKeyMoves.recordStart(move);
        this.#startMoves([move]);
      }
    }
    this.#startMoves(planMoves(this.#ranges.filter(isStable), servers, traffic, this.#options.maxMoves));
  }

  #startMoves(moves: readonly PlannedMove[]): void {
    for (const { range, from, to, newOwnerId } of moves) {
      if (!this.#ranges.includes(range)) {
        continue;
      }
      this.#moveCount += 1;
      const movingRange = { ...range, from, to };
      const remainingRanges = [
        { ...range, to: from - 1 },
        { ...range, from: to + 1 },
      ].filter((piece) => piece.from <= piece.to);
      this.#ranges = this.#ranges
        .flatMap((other) => (other === range ? [...remainingRanges, movingRange] : [other]))
        .sort((left, right) => left.from - right.from);
      const transferEndsAt =
        this.#now + OWNERSHIP_TRANSFER_MILLISECONDS + this.#options.workMilliseconds * this.#drawLogNormal();
      this.#transferEndTimes.set(movingRange, transferEndsAt);
      this.#schedule(transferEndsAt, () => {
        this.#transferEndTimes.delete(movingRange);
        this.#ranges = this.#ranges.map((other) =>
          other === movingRange ? { ...movingRange, ownerId: newOwnerId } : other,
        );
      });
    }
  }
}
