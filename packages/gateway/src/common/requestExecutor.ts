import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { type KeyHash, type KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { findServer, isReleasing, ownerOfUnit, unitOfKey } from '@hickoryhoist/protocol/common/assignment.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { type CrashingRequestDetector, fingerprintOf } from './crashingRequestDetector.js';
import { forwardedHeaders } from './forwardedHeaders.js';
import { type CallerRequest, remainingMilliseconds } from './callerRequest.js';
import { firstConclusive, isPendingAfter } from './hedging.js';
import type { RoutingState } from './routingState.js';
import { retryableNotRun, type RequestOutcome } from './requestOutcome.js';
import { RetryBudget } from './retryBudget.js';
import { LoadBalancer } from './loadBalancer.js';
import type { AttemptResult, ServerRequest, ServerTransport } from './serverTransport.js';

/** Pause before each retry, so that the assignment or the server can change in the meantime. */
const RETRY_PAUSE_MILLISECONDS = 15;
/** Maximum wait for a slot, as a share of the service's deadline. */
const MAXIMUM_WAIT_SHARE = 0.25;
/** Delay before a suspected request is sent, so that losses recorded by other entry VMs can arrive first. */
const SUSPECT_PAUSE_MILLISECONDS = 100;
const RETRIES_PER_REQUEST = 0.1;
const MAXIMUM_SAVED_RETRIES = 20;

/** Server that an attempt is sent to. */
interface Target {
  readonly address: string;
  readonly keyHash: KeyHash | undefined;
  readonly epoch: number;
  /** Revision of the assignment that the target was taken from; 0 for a pooled service. */
  readonly revision: number;
  readonly sliceCount: number;
}

type UnknownOutcome = Extract<RequestOutcome, { kind: 'unknown' }>;

/** Decision after an attempt. The outcome of a `retry` is reported when no further attempt is possible. */
type AttemptDecision =
  | { readonly kind: 'done'; readonly outcome: RequestOutcome }
  | { readonly kind: 'retry'; readonly outcome: RequestOutcome };

/**
 * Sends a request to the server that owns its key, or to a server of a pool, and reports the outcome. A
 * non-idempotent request is retried only if it is certain that no earlier attempt was run.
 */
export class RequestExecutor {
  readonly #hasher: KeyHasher;
  readonly #routing: RoutingState;
  readonly #transport: ServerTransport;
  readonly #loadBalancer: LoadBalancer;
  readonly #crashDetector: CrashingRequestDetector;
  readonly #logger: Logger;
  readonly #retryBudgets = new Map<string, RetryBudget>();

  constructor(
    hasher: KeyHasher,
    routing: RoutingState,
    transport: ServerTransport,
    loadBalancer: LoadBalancer,
    crashDetector: CrashingRequestDetector,
    logger: Logger,
  ) {
    this.#hasher = hasher;
    this.#routing = routing;
    this.#transport = transport;
    this.#loadBalancer = loadBalancer;
    this.#crashDetector = crashDetector;
    this.#logger = logger;
  }

  /** @param mayRun checked directly before each attempt, which is made only if this returns true. */
  async execute(request: CallerRequest, mayRun: () => boolean = () => true): Promise<RequestOutcome> {
    this.#retryBudget(request.service.name).recordRequest();
    const unknownOutcomes: UnknownOutcome[] = [];
    let lastOutcome: RequestOutcome = retryableNotRun('deadline');
    while (remainingMilliseconds(request) > 0 && !request.signal.aborted && mayRun()) {
      const decision = await this.#tryOnce(request, mayRun, unknownOutcomes);
      if (decision.kind === 'done') {
        return withUnknownOutcomes(decision.outcome, unknownOutcomes);
      }
      lastOutcome = decision.outcome;
    }
    return withUnknownOutcomes(lastOutcome, unknownOutcomes);
  }

  /** @param unknownOutcomes receives the outcome of every attempt that may have run without a response. */
  async #tryOnce(
    request: CallerRequest,
    mayRun: () => boolean,
    unknownOutcomes: UnknownOutcome[],
  ): Promise<AttemptDecision> {
    const target = this.#target(request);
    if (target === undefined) {
      await pause(request);
      return { kind: 'retry', outcome: retryableNotRun('no-owner') };
    }
    const limiter = this.#loadBalancer.limiter(request.service, target.address);
    const result = await limiter.acquire(
      request.service.latencyClass,
      this.#maximumWaitMilliseconds(request, target),
    );
    if (result.kind === 'overloaded') {
      return { kind: 'done', outcome: retryableNotRun('overloaded') };
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
        return { kind: 'retry', outcome: retryableNotRun('no-owner') };
      }
      const attempt = request.isIdempotent
        ? await this.#sendHedged(request, target, mayStillSend, unknownOutcomes)
        : await this.#send(request, target, request.signal, mayStillSend);
      return await this.#decide(request, attempt, target, unknownOutcomes);
    } finally {
      result.slot.dispose();
    }
  }

  /** Maximum wait for a slot: the time left after the expected latency, up to a share of the deadline. */
  #maximumWaitMilliseconds(request: CallerRequest, { address }: Target): number {
    const expected = this.#loadBalancer.expectedLatencyMilliseconds(request.service, address);
    const maximum = request.service.deadlineMilliseconds * MAXIMUM_WAIT_SHARE;
    return Math.min(maximum, remainingMilliseconds(request) - expected);
  }

  /** Whether a request is refused because it crashes servers. Delays a suspected request first. */
  async #crashesServers(request: CallerRequest): Promise<boolean> {
    if (this.#crashDetector.isEmpty) {
      return false;
    }
    const fingerprint = fingerprintOf(request);
    if (this.#crashDetector.isSuspect(fingerprint)) {
      await delay(Math.min(SUSPECT_PAUSE_MILLISECONDS, Math.max(1, remainingMilliseconds(request))));
    }
    return this.#crashDetector.isRefused(fingerprint);
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
      this.#loadBalancer.record(request.service, target, attempt, performance.now() - startedAt);
    }
    return attempt;
  }

  /**
   * Sends an idempotent request a second time if the first attempt has no result after a multiple of the
   * server's usual latency. The first conclusive result is used and the other attempt is cancelled.
   */
  async #sendHedged(
    request: CallerRequest,
    target: Target,
    mayStillSend: () => boolean,
    unknownOutcomes: UnknownOutcome[],
  ): Promise<AttemptResult> {
    const cancellation = new AbortController();
    const signal = AbortSignal.any([request.signal, cancellation.signal]);
    const first = this.#send(request, target, signal, mayStillSend);
    const hedgeDelay = this.#loadBalancer.hedgeDelayMilliseconds(request.service, target.address);
    if (!(await isPendingAfter(first, hedgeDelay)) || !this.#retryBudget(request.service.name).tryTake()) {
      return first;
    }
    const attempt = await firstConclusive(first, this.#send(request, target, signal, mayStillSend));
    cancellation.abort();
    if (attempt.kind !== 'answered') {
      unknownOutcomes.push({ kind: 'unknown', reason: 'connection-lost' });
    }
    return attempt;
  }

  #updateCrashDetector(request: CallerRequest, attempt: AttemptResult): void {
    if (attempt.kind === 'answered') {
      if (!this.#crashDetector.isEmpty) {
        this.#crashDetector.recordResponse(fingerprintOf(request));
      }
    } else if (attempt.kind === 'lost' && attempt.cause === 'connection-lost' && !request.signal.aborted) {
      this.#crashDetector.recordLoss(fingerprintOf(request));
    }
  }

  async #decide(
    request: CallerRequest,
    attempt: AttemptResult,
    target: Target,
    unknownOutcomes: UnknownOutcome[],
  ): Promise<AttemptDecision> {
    this.#updateCrashDetector(request, attempt);
    switch (attempt.kind) {
      case 'answered':
        return { kind: 'done', outcome: attempt };
      case 'refused':
        return this.#decideAfterRefusal(request, attempt.refusal);
      case 'not-written':
        return this.#retryWithinBudget(request, retryableNotRun('server-unreachable'));
      case 'lost': {
        this.#logger.log('info', 'attempt-lost', {
          request: request.id,
          server: target.address,
          cause: attempt.cause,
        });
        const outcome: UnknownOutcome = { kind: 'unknown', reason: attempt.cause };
        unknownOutcomes.push(outcome);
        return request.isIdempotent ? this.#retryWithinBudget(request, outcome) : { kind: 'done', outcome };
      }
    }
  }

  async #decideAfterRefusal(
    request: CallerRequest,
    refusal: Extract<AttemptResult, { kind: 'refused' }>['refusal'],
  ): Promise<AttemptDecision> {
    switch (refusal) {
      case 'not-owner':
      case 'leaving':
        await pause(request);
        return { kind: 'retry', outcome: retryableNotRun('no-owner') };
      case 'shed':
        return this.#retryWithinBudget(request, retryableNotRun('shed'));
    }
  }

  async #retryWithinBudget(request: CallerRequest, outcome: RequestOutcome): Promise<AttemptDecision> {
    if (!this.#retryBudget(request.service.name).tryTake()) {
      return { kind: 'done', outcome };
    }
    await pause(request);
    return { kind: 'retry', outcome };
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
            : this.#loadBalancer.choose(request.service, servers);
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

  #retryBudget(service: string): RetryBudget {
    const known = this.#retryBudgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = new RetryBudget(RETRIES_PER_REQUEST, MAXIMUM_SAVED_RETRIES);
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}

async function pause(request: CallerRequest): Promise<void> {
  await delay(Math.min(RETRY_PAUSE_MILLISECONDS, Math.max(1, remainingMilliseconds(request))));
}

/** Replaces the outcome `not-run` if an attempt has an unknown outcome, since that attempt may have run. */
function withUnknownOutcomes(
  outcome: RequestOutcome,
  unknownOutcomes: readonly UnknownOutcome[],
): RequestOutcome {
  return outcome.kind === 'not-run' ? (unknownOutcomes.at(-1) ?? outcome) : outcome;
}
