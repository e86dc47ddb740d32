import { type ColdStartBudget, ColdStartLimit } from './coldStartLimit.js';
import type { ProcessingTimeEstimate } from './processingTimes.js';
import type { SchedulableServer } from './schedulableServers.js';
import { ProcessingTimeEstimator } from './processingTimeEstimator.js';
import type { RequestPace } from './serverPace.js';
import { ServerRateLimit } from './serverRateLimit.js';
import type { RateStatement } from './serverStatements.js';
import type { ServiceProcessingTimes } from './serviceProcessingTimes.js';
import { StatedLoadEstimate } from './statedLoadEstimate.js';

/** Number of requests that stand behind a rate that a server has stated. */
const STATED_RATE_SAMPLES = 50;
/** Weight of a new attempt in the smoothed failure rate. */
const FAILURE_SMOOTHING = 0.2;
/** Factor by which a server is slower while it warms up. */
const WARMUP_FACTOR = 2;
/**
 * Bounds of the time for which an unresponsive server is ejected, in milliseconds. The time doubles with each
 * further ejection until the server responds.
 */
const MIN_EJECTION_MILLISECONDS = 400;
const MAX_EJECTION_MILLISECONDS = 3_200;
/**
 * Weight of the failure rate in the expected cost. A server that always fails costs this many processing
 * times more than one that never fails.
 */
const FAILURE_WEIGHT = 6;

/** How an attempt ended, as far as it affects the statistics of the server. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'unreachable' | 'silent' | 'cancelled';

interface Attempt {
  readonly grantedAt: number;
  /** Estimated time at which the server started processing it; undefined while it is queued there. */
  processingStartedAt: number | undefined;
}

/** Load, processing time and failure rate of one server, derived from the attempts sent to it. */
export class ServerStatistics {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Attempts in flight, the oldest first. */
  readonly #attempts = new Map<string, Attempt>();
  readonly #service: ServiceProcessingTimes;
  readonly #times: ProcessingTimeEstimator;
  #failureRate = 0;
  #ejectedUntil = 0;
  #ejectionMilliseconds = MIN_EJECTION_MILLISECONDS;
  #lastResponseAt = Number.NEGATIVE_INFINITY;
  readonly #rateLimit = new ServerRateLimit();

  readonly #coldStart: ColdStartLimit;
  readonly #pace: RequestPace;
  readonly #statedLoad = new StatedLoadEstimate();

  /**
   * @param service times of all servers of the service.
   * @param pace limits the requests in flight after a start or an ejection.
   */
  constructor(server: SchedulableServer, service: ServiceProcessingTimes, now: number, pace: RequestPace) {
    this.id = server.id;
    this.availabilityZone = server.availabilityZone;
    this.slots = server.slots;
    this.#service = service;
    this.#times = new ProcessingTimeEstimator(service);
    this.#coldStart = new ColdStartLimit(server.coldStart);
    this.#pace = pace;
    this.extendWarmup(server.warmupMilliseconds, now);
  }

  /** Number of attempts that have not ended. */
  get inFlight(): number {
    return this.#attempts.size;
  }

  /** Expected processing time of a request, without its time in the server's queue, in milliseconds. */
  expectedMilliseconds(now: number): number {
    return this.#times.recentMilliseconds * this.#warmupFactor(now);
  }

  /** Average processing time over the last requests; undefined before the first sample. */
  longTermProcessingTime(now: number): ProcessingTimeEstimate | undefined {
    const requestsPerSecond = this.requestsPerSecond(now);
    const milliseconds = this.#times.longTermMilliseconds * this.#warmupFactor(now);
    if (requestsPerSecond !== undefined) {
      // Keys are distributed by this time: a server that takes fewer requests counts as slower.
      return {
        milliseconds: Math.max(milliseconds, (this.slots * 1_000) / requestsPerSecond),
        sampleCount: STATED_RATE_SAMPLES,
      };
    }
    const { sampleCount } = this.#times;
    return sampleCount === 0 ? undefined : { milliseconds, sampleCount };
  }

  /** Expected processing time at this moment, increased by the failure rate. */
  expectedCost(now: number): number {
    const failureFactor = 1 + FAILURE_WEIGHT * this.#failureRate;
    return this.expectedMilliseconds(now) * this.#statedLoad.relativeWorkFactor(now) * failureFactor;
  }

  /** Expected number of requests at the server, including those that it stated and that are not known here. */
  expectedRequests(now: number): number {
    return this.inFlight + this.#statedLoad.otherRequests(now);
  }

  /** Limits the server to one request at a time until it has answered, because it has just started. */
  startSlowly(now: number): void {
    this.#pace.restart('started', now);
  }

  /** Slots that can be used soon, if the server answers well. */
  get slotsWithinPace(): number {
    return Math.min(this.slots, 2 * (this.#pace.limit ?? this.slots));
  }

  /** Time until an ejected server gets requests again, in milliseconds. */
  remainingEjectionMilliseconds(now: number): number {
    return Math.max(0, this.#ejectedUntil - now);
  }

  /** Whether the server gets no requests for now because it was unresponsive. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /** The rate that the server has asked for or bears while it is cold, in requests a second; undefined if there is none. */
  requestsPerSecond(now: number): number | undefined {
    const cold = this.#coldStart.requestsPerSecond(now);
    const stated = this.#rateLimit.requestsPerSecond;
    return cold === undefined || stated === undefined ? (cold ?? stated) : Math.min(cold, stated);
  }

  /** Number of requests that the server's rates and its pace admit now. */
  requestsAdmitted(now: number): number {
    return Math.min(
      this.#rateLimit.available(now),
      this.#coldStart.available(now),
      this.#pace.available(now),
    );
  }

  /** Replaces what the server may be sent while it is cold. */
  setColdStart(budget: ColdStartBudget | undefined): void {
    this.#coldStart.setBudget(budget);
  }

  /** Records a time for which the server stays cold, in milliseconds, unless a longer one is known. */
  extendWarmup(milliseconds: number, now: number): void {
    this.#coldStart.extendWarmup(milliseconds, now);
  }

  /** Records what a response of the server stated. */
  recordStatement({ requestsPerSecond, load, warmupMilliseconds }: RateStatement, now: number): void {
    this.#rateLimit.record(requestsPerSecond, now);
    if (warmupMilliseconds !== undefined) {
      this.#coldStart.recordWarmup(warmupMilliseconds, now);
    }
    if (load !== undefined) {
      this.#statedLoad.record(load, this.inFlight, now);
    }
  }

  /** Starts an attempt. Beyond the server's slots it is queued at the server until another attempt ends. */
  begin(attemptId: string, now: number): void {
    const isQueued = this.#attempts.size >= this.slots;
    this.#rateLimit.start(now);
    this.#coldStart.start(now);
    this.#pace.begin(attemptId, now);
    this.#attempts.set(attemptId, { grantedAt: now, processingStartedAt: isQueued ? undefined : now });
  }

  /** Ends an attempt. @returns its processing time in milliseconds, if the server started processing it. */
  end(attemptId: string, outcome: AttemptOutcome, now: number): number | undefined {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) {
      return undefined;
    }
    this.#attempts.delete(attemptId);
    const { grantedAt, processingStartedAt } = attempt;
    const milliseconds = processingStartedAt === undefined ? undefined : now - processingStartedAt;
    this.#recordPace(attemptId, outcome, milliseconds);
    this.#record(outcome, grantedAt, milliseconds, now);
    const nextQueued = [...this.#attempts.values()]
      .slice(0, this.slots)
      .find((other) => other.processingStartedAt === undefined);
    if (nextQueued !== undefined) {
      nextQueued.processingStartedAt = now;
    }
    return milliseconds;
  }

  #record(outcome: AttemptOutcome, grantedAt: number, milliseconds: number | undefined, now: number): void {
    switch (outcome) {
      case 'answered':
        this.#ejectionMilliseconds = MIN_EJECTION_MILLISECONDS;
        this.#lastResponseAt = now;
        this.#failureRate *= 1 - FAILURE_SMOOTHING;
        if (milliseconds !== undefined) {
          this.#times.add(milliseconds / this.#warmupFactor(now));
        }
        return;
      case 'failed':
      case 'refused':
        this.#failureRate += FAILURE_SMOOTHING * (1 - this.#failureRate);
        return;
      case 'silent':
        this.#times.add(milliseconds ?? now - grantedAt);
        this.#failureRate += FAILURE_SMOOTHING * (1 - this.#failureRate);
        // A server that responded to other requests in the meantime is slow but reachable.
        if (this.#lastResponseAt < grantedAt) {
          this.#eject(now);
        }
        return;
      case 'unreachable':
        this.#eject(now);
        return;
      case 'cancelled':
        // The elapsed time is a lower bound, so it counts only if it exceeds the current estimate.
        if (milliseconds !== undefined && milliseconds > this.#times.recentMilliseconds) {
          this.#times.add(milliseconds);
        }
    }
  }

  #recordPace(attemptId: string, outcome: AttemptOutcome, milliseconds: number | undefined): void {
    switch (outcome) {
      case 'answered':
        this.#pace.recordAnswer(attemptId, milliseconds, this.#service.averageMilliseconds);
        return;
      case 'failed':
      case 'refused':
      case 'silent':
      case 'unreachable':
        this.#pace.recordFailure(attemptId);
        return;
      case 'cancelled':
        this.#pace.cancel(attemptId);
    }
  }

  #warmupFactor(now: number): number {
    return this.#coldStart.isCold(now) ? WARMUP_FACTOR : 1;
  }

  #eject(now: number): void {
    if (now >= this.#ejectedUntil) {
      this.#ejectedUntil = now + this.#ejectionMilliseconds;
      this.#pace.restart('ejected', now);
      this.#ejectionMilliseconds = Math.min(2 * this.#ejectionMilliseconds, MAX_EJECTION_MILLISECONDS);
    }
  }
}
