import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { type KeyHash, type KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { findServer, isReleasing, ownerOfUnit, unitOfKey } from '@hickoryhoist/protocol/common/assignment.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { type CrashingRequestDetector, fingerprintOf } from './crashingRequestDetector.js';
import { forwardedHeaders } from './forwardedHeaders.js';
import { type CallerRequest, remainingMilliseconds } from './callerRequest.js';
import { firstUseful, isPendingAfter } from './hedging.js';
import type { RoutingState } from './routingState.js';
import { notRunForNow, type RequestOutcome } from './requestOutcome.js';
import { RetryBudget } from './retryBudget.js';
import { LoadBalancer } from './loadBalancer.js';
import type { AttemptResult, ServerRequest, ServerTransport } from './serverTransport.js';

/** Pause before an assignment or a shedding server is looked at again, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 15;
/** Share of a request's whole time for which it may wait for a slot. */
const LONGEST_WAIT_SHARE = 0.25;
const SUSPECT_WAIT_MILLISECONDS = 100;
const RETRY_SHARE = 0.1;
const RETRY_TOKENS = 20;

/** Where an attempt goes. */
interface Target {
  readonly address: string;
  readonly keyHash: KeyHash | undefined;
  readonly epoch: number;
  /** Revision of the assignment that names the target. */
  readonly revision: number;
  readonly sliceCount: number;
}

type UnknownOutcome = Extract<RequestOutcome, { kind: 'unknown' }>;

/** What one round of sending decided. */
type Step =
  | { readonly kind: 'done'; readonly outcome: RequestOutcome }
  | { readonly kind: 'again'; readonly proof: RequestOutcome };

/**
 * Has a request run by the right server and says truthfully what became of it. A request that must not double
 * is sent again only with proof that it was not run before.
 */
export class RequestExecutor {
  readonly #hasher: KeyHasher;
  readonly #routing: RoutingState;
  readonly #transport: ServerTransport;
  readonly #directory: LoadBalancer;
  readonly #crashGuard: CrashingRequestDetector;
  readonly #logger: Logger;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(
    hasher: KeyHasher,
    routing: RoutingState,
    transport: ServerTransport,
    directory: LoadBalancer,
    crashGuard: CrashingRequestDetector,
    logger: Logger,
  ) {
    this.#hasher = hasher;
    this.#routing = routing;
    this.#transport = transport;
    this.#directory = directory;
    this.#crashGuard = crashGuard;
    this.#logger = logger;
  }

  /**
   * @param mayRun checked directly before each attempt; an attempt is made only while it holds.
   */
  async execute(request: CallerRequest, mayRun: () => boolean = () => true): Promise<RequestOutcome> {
    this.#budget(request.service.name).recordRequest();
    const doubts: UnknownOutcome[] = [];
    let last: RequestOutcome = notRunForNow('deadline');
    while (remainingMilliseconds(request) > 0 && !request.signal.aborted && mayRun()) {
      const step = await this.#tryOnce(request, mayRun, doubts);
      if (step.kind === 'done') {
        return withDoubts(step.outcome, doubts);
      }
      last = step.proof;
    }
    return withDoubts(last, doubts);
  }

  /** @param doubts receives the outcome of every attempt that may have run without an answer. */
  async #tryOnce(request: CallerRequest, mayRun: () => boolean, doubts: UnknownOutcome[]): Promise<Step> {
    const target = this.#target(request);
    if (target === undefined) {
      await pause(request);
      return { kind: 'again', proof: notRunForNow('no-owner') };
    }
    const limiter = this.#directory.limiter(request.service, target.address);
    const result = await limiter.acquire(request.service.latencyClass, this.#patience(request, target));
    if (result.kind === 'overloaded') {
      return { kind: 'done', outcome: notRunForNow('overloaded') };
    }
    try {
      if (await this.#crashesServers(request)) {
        return { kind: 'done', outcome: { kind: 'not-run', reason: 'crashes-servers' } };
      }
      const mayStillSend = (): boolean =>
        this.#target(request, target.address)?.address === target.address &&
        mayRun() &&
        remainingMilliseconds(request) > 0;
      if (!mayStillSend()) {
        return { kind: 'again', proof: notRunForNow('no-owner') };
      }
      const attempt = request.isIdempotent
        ? await this.#sendHedged(request, target, mayStillSend, doubts)
        : await this.#send(request, target, request.signal, mayStillSend);
      return await this.#judge(request, attempt, target, doubts);
    } finally {
      result.slot.dispose();
    }
  }

  /** Time that a request may wait for a slot: what its deadline leaves, but a share of its time at most. */
  #patience(request: CallerRequest, { address }: Target): number {
    const expected = this.#directory.expectedMilliseconds(request.service, address);
    const longest = request.service.deadlineMilliseconds * LONGEST_WAIT_SHARE;
    return Math.min(longest, remainingMilliseconds(request) - expected);
  }

  /** A suspect waits until what other entry VMs know of it should have arrived. */
  async #crashesServers(request: CallerRequest): Promise<boolean> {
    if (this.#crashGuard.isQuiet) {
      return false;
    }
    const fingerprint = fingerprintOf(request);
    if (this.#crashGuard.isSuspect(fingerprint)) {
      await delay(Math.min(SUSPECT_WAIT_MILLISECONDS, Math.max(1, remainingMilliseconds(request))));
    }
    return this.#crashGuard.isRefused(fingerprint);
  }

  async #send(
    request: CallerRequest,
    target: Target,
    signal: AbortSignal,
    mayStillSend: () => boolean,
  ): Promise<AttemptResult> {
    const startedAt = performance.now();
    const tracking = this.#routing.track(request.service.name, target.address, target.revision);
    const attempt = await this.#transport.send(this.#serverRequest(request, target, signal, mayStillSend));
    tracking.dispose();
    if (!signal.aborted) {
      this.#directory.record(request.service, target, attempt, performance.now() - startedAt);
    }
    return attempt;
  }

  /**
   * Sends an idempotent request a second time when the first attempt stays silent for longer than the server
   * usually takes. The first useful answer wins, and the other attempt is cancelled.
   */
  async #sendHedged(
    request: CallerRequest,
    target: Target,
    mayStillSend: () => boolean,
    doubts: UnknownOutcome[],
  ): Promise<AttemptResult> {
    const cancellation = new AbortController();
    const signal = AbortSignal.any([request.signal, cancellation.signal]);
    const first = this.#send(request, target, signal, mayStillSend);
    const patience = this.#directory.hedgeMilliseconds(request.service, target.address);
    if (!(await isPendingAfter(first, patience)) || !this.#budget(request.service.name).tryTake()) {
      return first;
    }
    const attempt = await firstUseful(first, this.#send(request, target, signal, mayStillSend));
    cancellation.abort();
    if (attempt.kind !== 'answered') {
      doubts.push({ kind: 'unknown', reason: 'connection-lost' });
    }
    return attempt;
  }

  #recordForCrashes(request: CallerRequest, attempt: AttemptResult): void {
    if (attempt.kind === 'answered') {
      if (!this.#crashGuard.isQuiet) {
        this.#crashGuard.recordAnswer(fingerprintOf(request));
      }
    } else if (attempt.kind === 'lost' && attempt.cause === 'connection-lost' && !request.signal.aborted) {
      this.#crashGuard.recordLoss(fingerprintOf(request));
    }
  }

  async #judge(
    request: CallerRequest,
    attempt: AttemptResult,
    target: Target,
    doubts: UnknownOutcome[],
  ): Promise<Step> {
    this.#recordForCrashes(request, attempt);
    switch (attempt.kind) {
      case 'answered':
        return { kind: 'done', outcome: attempt };
      case 'refused':
        return this.#afterRefusal(request, attempt.refusal);
      case 'not-written':
        return this.#retryWithin(request, notRunForNow('server-unreachable'));
      case 'lost': {
        this.#logger.log('info', 'attempt-lost', {
          request: request.id,
          server: target.address,
          cause: attempt.cause,
        });
        const outcome: UnknownOutcome = { kind: 'unknown', reason: attempt.cause };
        doubts.push(outcome);
        return request.isIdempotent ? this.#retryWithin(request, outcome) : { kind: 'done', outcome };
      }
    }
  }

  async #afterRefusal(
    request: CallerRequest,
    refusal: Extract<AttemptResult, { kind: 'refused' }>['refusal'],
  ): Promise<Step> {
    switch (refusal) {
      case 'not-owner':
      case 'leaving':
        await pause(request);
        return { kind: 'again', proof: notRunForNow('no-owner') };
      case 'shed':
        return this.#retryWithin(request, notRunForNow('shed'));
    }
  }

  async #retryWithin(request: CallerRequest, proof: RequestOutcome): Promise<Step> {
    if (!this.#budget(request.service.name).tryTake()) {
      return { kind: 'done', outcome: proof };
    }
    await pause(request);
    return { kind: 'again', proof };
  }

  #target(request: CallerRequest, preferred?: string): Target | undefined {
    switch (request.service.kind) {
      case 'keyed':
        return this.#keyedTarget(request.service.name, request.key ?? '');
      case 'pooled': {
        const servers = this.#routing.pooledServers(request.service);
        const address =
          preferred !== undefined && servers.includes(preferred)
            ? preferred
            : this.#directory.choose(request.service, servers);
        return address === undefined
          ? undefined
          : { address, keyHash: undefined, epoch: 0, revision: 0, sliceCount: 1 };
      }
    }
  }

  #keyedTarget(group: string, key: string): Target | undefined {
    const assignment = this.#routing.assignment(group);
    if (assignment === undefined) {
      return undefined;
    }
    const keyHash = this.#hasher.hash(key);
    const unit = unitOfKey(assignment, keyHash);
    const server = findServer(assignment, ownerOfUnit(assignment, unit));
    if (
      server === undefined ||
      server.phase === 'lost' ||
      isReleasing(assignment, unit) ||
      !this.#routing.mayRoute(group, server)
    ) {
      return undefined;
    }
    return {
      address: server.address,
      keyHash,
      epoch: server.epoch,
      revision: assignment.revision,
      sliceCount: assignment.owners.length,
    };
  }

  #serverRequest(
    request: CallerRequest,
    target: Target,
    signal: AbortSignal,
    mayStillSend: () => boolean,
  ): ServerRequest {
    const timeoutMilliseconds = Math.max(1, Math.floor(remainingMilliseconds(request)));
    return {
      address: target.address,
      method: request.method,
      target: request.target,
      headers: {
        ...forwardedHeaders(request),
        [headerNames.requestId]: request.id,
        [headerNames.deadline]: timeoutMilliseconds.toString(),
        ...(target.keyHash === undefined
          ? {}
          : { [headerNames.keyHash]: target.keyHash, [headerNames.epoch]: target.epoch.toString() }),
      },
      body: request.body,
      requestId: request.id,
      isIdempotent: request.isIdempotent,
      timeoutMilliseconds,
      answerLimitBytes: request.service.answerLimitBytes,
      connectionLimit: request.service.connectionsPerServer,
      signal,
      mayStillSend,
    };
  }

  #budget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = new RetryBudget(RETRY_SHARE, RETRY_TOKENS);
    this.#budgets.set(service, budget);
    return budget;
  }
}

async function pause(request: CallerRequest): Promise<void> {
  await delay(Math.min(RETRY_PAUSE_MILLISECONDS, Math.max(1, remainingMilliseconds(request))));
}

/** A request is told as not run only while no attempt is in doubt. */
function withDoubts(outcome: RequestOutcome, doubts: readonly UnknownOutcome[]): RequestOutcome {
  return outcome.kind === 'not-run' ? (doubts.at(-1) ?? outcome) : outcome;
}
