import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { CallerRequest, NotRunReason, RequestOutcome } from './callerRequest.js';
import type { CrashingRequestDetector } from './crashingRequestDetector.js';
import type { RetryBudget } from './retryBudget.js';
import type { ServerCallResult, ServerRefusal, ServerTransport } from './serverCall.js';
import type { ServerRecord } from './serverRecord.js';
import type { ServerPauses } from './serverPauses.js';
import type { ServerStatements } from './serverStatements.js';
import type { AttemptOutcome } from './serverStatistics.js';
import type { Slot, SlotResult, SlotSource } from './slotSource.js';

/** Retry delay that callers get when a request has no available server or owner, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MILLISECONDS = 250;
/** Time that must be left before the deadline to start an attempt, in milliseconds. */
const MIN_ATTEMPT_MILLISECONDS = 5;
/** Delay before a misdirected request is routed again, in milliseconds. By then a new owner is known. */
const OWNER_LOOKUP_DELAY_MILLISECONDS = 40;
/**
 * Time that a request may wait for the next owner of its key even past its latency goal, in milliseconds. It
 * covers an ownership transfer without load.
 */
const OWNERSHIP_TRANSFER_MILLISECONDS = 350;
/** Maximum number of slots acquired for one request, also for attempts that were refused or not written. */
const MAX_ROUNDS = 5;

/** The dispatcher's view of servers and key owners. */
export interface RoutingView {
  /** The server with this identifier if it accepts requests. */
  server(id: string): ServerRecord | undefined;
  /** Identifier of the server that owns a key of a keyed service. */
  ownerOf(service: string, key: number): string | undefined;
  /** Whether the owner of a key is releasing it, so that a new owner is expected shortly. */
  isOwnershipInTransfer(service: string, key: number): boolean;
  /** Whether the assignment of a key is so recent that its owner may not have received the grant yet. */
  hasUnconfirmedOwner(service: string, key: number): boolean;
  /** Whether this process currently receives updates of key owners. */
  receivesOwnerUpdates(): boolean;
  /** Maximum number of idle connections that this process may keep open to one server of a service. */
  maxIdleConnections(service: string): number;
  /** Fires when the owners of keys may have changed. */
  onDidChangeOwners: Event<void>;
  pause(milliseconds: number): Promise<void>;
  /** The pauses that servers have asked this process for. */
  readonly pauses: ServerPauses;
  /** Identifiers of the servers of a service that accept requests. */
  serverIds(service: string): readonly string[];
  /** Takes note of what a server stated in a response, before the response is passed on. */
  recordStatements(server: ServerRecord, statements: ServerStatements): void;
}

/** Condition to wait for before a retry. */
type RetryWait = 'none' | 'delay' | 'next-owner';

/** Whether a request is retried after an attempt. */
type RetryDecision =
  | { readonly kind: 'final'; readonly outcome: RequestOutcome }
  /** The request may be retried; `outcome` applies if it cannot be. */
  | {
      readonly kind: 'retry';
      readonly outcome: RequestOutcome;
      readonly wait: RetryWait;
      readonly usesRetryBudget: boolean;
    };

/**
 * Sends requests to servers and retries where that is safe. The outcome is `not-run` only if no attempt can
 * have run the request.
 */
export class RequestDispatcher {
  readonly #slots: SlotSource;
  readonly #transport: ServerTransport;
  readonly #routing: RoutingView;
  readonly #retryBudget: RetryBudget;
  readonly #crashDetector: CrashingRequestDetector;
  readonly #availabilityZone: string;
  readonly #logger: Logger;

  constructor(
    availabilityZone: string,
    slots: SlotSource,
    transport: ServerTransport,
    routing: RoutingView,
    retryBudget: RetryBudget,
    crashDetector: CrashingRequestDetector,
    logger: Logger,
  ) {
    this.#availabilityZone = availabilityZone;
    this.#slots = slots;
    this.#transport = transport;
    this.#routing = routing;
    this.#retryBudget = retryBudget;
    this.#crashDetector = crashDetector;
    this.#logger = logger;
  }

  async dispatch(request: CallerRequest): Promise<RequestOutcome> {
    this.#retryBudget.recordRequest(request.service);
    const failedIds: string[] = [];
    let sentCount = 0;
    let unknownOutcome: RequestOutcome | undefined;
    let lastOutcome: RequestOutcome = notRun('no-server', NO_SERVER_RETRY_AFTER_MILLISECONDS);
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const acquired = await this.#acquireSlot(request, failedIds);
      if (acquired.kind === 'not-run') {
        return unknownOutcome ?? (round === 0 ? acquired : lastOutcome);
      }
      const server = this.#revalidateServer(request, acquired.slot);
      if (server === undefined) {
        acquired.slot.finish('cancelled');
        // The coordinator may still grant slots of a leaving server that this process already knows about.
        failedIds.push(acquired.slot.serverId);
        lastOutcome = notRun(request.isKeyed ? 'no-owner' : 'no-server', OWNER_LOOKUP_DELAY_MILLISECONDS);
        if (request.signal.aborted) {
          break;
        }
        await this.#routing.pause(OWNER_LOOKUP_DELAY_MILLISECONDS);
        continue;
      }
      const result = await this.#send(request, server, acquired.slot);
      sentCount += result.kind === 'lost' ? 1 : 0;
      const decision = this.#decideRetry(request, server, result);
      if (decision.kind === 'final') {
        return decision.outcome;
      }
      lastOutcome = decision.outcome;
      unknownOutcome = lastOutcome.kind === 'unknown' ? lastOutcome : unknownOutcome;
      failedIds.push(server.id);
      if (
        !(await this.#waitBeforeRetry(request, server.id, decision.wait)) ||
        !this.#canRetry(request, sentCount, decision.usesRetryBudget)
      ) {
        break;
      }
    }
    return unknownOutcome ?? lastOutcome;
  }

  async #acquireSlot(
    request: CallerRequest,
    excludedIds: readonly string[],
  ): Promise<{ kind: 'slot'; slot: Slot } | Extract<RequestOutcome, { kind: 'not-run' }>> {
    if (this.#crashDetector.isRefused(request)) {
      return notRun('crashes-servers', NO_SERVER_RETRY_AFTER_MILLISECONDS);
    }
    const { service, key } = request;
    if (request.isKeyed && key !== undefined) {
      const until = performance.now() + OWNERSHIP_TRANSFER_MILLISECONDS;
      await this.#waitWhile(request, until, () => this.#routing.isOwnershipInTransfer(service, key));
    }
    if (request.signal.aborted) {
      return notRun('no-owner', NO_SERVER_RETRY_AFTER_MILLISECONDS);
    }
    const owner = request.isKeyed ? this.#ownerOf(request) : undefined;
    if (request.isKeyed && owner === undefined) {
      return notRun('no-owner', NO_SERVER_RETRY_AFTER_MILLISECONDS);
    }
    const requestedAt = performance.now();
    const pausedIds = this.#pausedIds(request, owner, requestedAt);
    const pauseMilliseconds = this.#pauseMilliseconds(request, owner, pausedIds, requestedAt);
    if (pauseMilliseconds !== undefined) {
      this.#logger.log('info', 'server-pause-kept', {
        request: request.id,
        service,
        server: owner,
        paused: pausedIds.length,
        retryAfter: Math.round(pauseMilliseconds),
      });
      return notRun('server-refused', pauseMilliseconds);
    }
    const { result, hasOwnerChanged } = await this.#requestSlot(request, owner, [
      ...excludedIds,
      ...pausedIds,
    ]);
    if (result.kind === 'granted') {
      return { kind: 'slot', slot: result.slot };
    }
    if (hasOwnerChanged) {
      return this.#acquireSlot(request, excludedIds);
    }
    this.#logger.log('info', 'slot-refused', {
      request: request.id,
      service: request.service,
      server: owner,
      refusal: result.refusal,
      coordinator: result.coordinatorId,
      ...result.basis,
      waited: Math.round(performance.now() - requestedAt),
      goalLeft: Math.round(request.goalAt - requestedAt),
      left: Math.round(request.deadlineAt - requestedAt),
      retryAfter: Math.round(result.retryAfterMilliseconds),
    });
    return notRun(result.refusal, result.retryAfterMilliseconds);
  }

  /** Servers that could run the request and have asked this process for a pause. */
  #pausedIds(request: CallerRequest, owner: string | undefined, now: number): readonly string[] {
    if (this.#routing.pauses.isEmpty) {
      return [];
    }
    const candidates = owner === undefined ? this.#routing.serverIds(request.service) : [owner];
    return candidates.filter((id) => this.#routing.pauses.remainingMilliseconds(id, now) > 0);
  }

  /** @returns the time until a server may be asked, in milliseconds; undefined if there is one now. */
  #pauseMilliseconds(
    request: CallerRequest,
    owner: string | undefined,
    pausedIds: readonly string[],
    now: number,
  ): number | undefined {
    const { pauses } = this.#routing;
    const candidates = owner === undefined ? this.#routing.serverIds(request.service).length : 1;
    const [first, ...others] = pausedIds;
    if (first === undefined || pausedIds.length < candidates) {
      return undefined;
    }
    const earliest = others.reduce(
      (best, id) =>
        pauses.remainingMilliseconds(id, now) < pauses.remainingMilliseconds(best, now) ? id : best,
      first,
    );
    return pauses.nextReturnMilliseconds(earliest, now);
  }

  /** Requests a slot and cancels the slot request if the key gets another owner in the meantime. */
  async #requestSlot(
    request: CallerRequest,
    owner: string | undefined,
    excludedIds: readonly string[],
  ): Promise<{ result: SlotResult; hasOwnerChanged: boolean }> {
    const cancellation = new AbortController();
    const cancel = (): void => {
      cancellation.abort();
    };
    const isOtherOwner = (): boolean => request.isKeyed && this.#ownerOf(request) !== owner;
    const subscription = this.#routing.onDidChangeOwners(() => {
      if (isOtherOwner()) {
        cancel();
      }
    });
    request.signal.addEventListener('abort', cancel, { once: true });
    try {
      const result = await this.#slots.acquire(
        request.service,
        {
          serverId: owner,
          key: owner === undefined ? undefined : request.key,
          excludedIds: [...excludedIds],
          availabilityZone: this.#availabilityZone,
          rank: request.route.rank,
          bodyBytes: request.body.length,
          responseBytes: request.responseBytes,
          goalAt: request.goalAt,
          deadlineAt: request.deadlineAt,
        },
        cancellation.signal,
      );
      return { result, hasOwnerChanged: isOtherOwner() && !request.signal.aborted };
    } finally {
      subscription.dispose();
      request.signal.removeEventListener('abort', cancel);
    }
  }

  /** @returns false if a retry cannot succeed. */
  async #waitBeforeRetry(request: CallerRequest, serverId: string, wait: RetryWait): Promise<boolean> {
    switch (wait) {
      case 'none':
        return true;
      case 'delay':
        await this.#routing.pause(OWNER_LOOKUP_DELAY_MILLISECONDS);
        return true;
      case 'next-owner':
        return this.#waitForNextOwner(request, serverId);
    }
  }

  /**
   * Waits for another owner of the key, or for a newer grant of the same one. @returns whether there is one.
   */
  async #waitForNextOwner(request: CallerRequest, previousOwnerId: string): Promise<boolean> {
    const startedAt = performance.now();
    const isOwnedByPrevious = (): boolean =>
      this.#ownerOf(request) === previousOwnerId && !this.#hasUnconfirmedOwner(request);
    const receivesUpdates = this.#routing.receivesOwnerUpdates();
    if (receivesUpdates) {
      // The owner finishes the requests in flight on a key before it releases it: about one request's time.
      const until = Math.max(startedAt + OWNERSHIP_TRANSFER_MILLISECONDS, request.goalAt);
      await this.#waitWhile(request, until, isOwnedByPrevious);
    }
    this.#logger.log('info', 'owner-change-awaited', {
      request: request.id,
      service: request.service,
      key: request.key,
      former: previousOwnerId,
      owner: this.#ownerOf(request),
      isTold: receivesUpdates,
      isFound: !isOwnedByPrevious(),
      milliseconds: Math.round(performance.now() - startedAt),
    });
    return !isOwnedByPrevious();
  }

  /**
   * Polls while a condition holds, until a point in time. Waiting here is faster than refusing the request: a
   * caller refused during an ownership transfer retries much later.
   */
  async #waitWhile(request: CallerRequest, until: number, condition: () => boolean): Promise<void> {
    const end = Math.min(until, request.deadlineAt - MIN_ATTEMPT_MILLISECONDS);
    while (condition() && performance.now() < end && !request.signal.aborted) {
      await this.#routing.pause(OWNER_LOOKUP_DELAY_MILLISECONDS / 2);
    }
  }

  #ownerOf(request: CallerRequest): string | undefined {
    return request.key === undefined ? undefined : this.#routing.ownerOf(request.service, request.key);
  }

  #hasUnconfirmedOwner({ service, key }: CallerRequest): boolean {
    return key !== undefined && this.#routing.hasUnconfirmedOwner(service, key);
  }

  /** Looks up the server again before sending: its state may have changed while the request was queued. */
  #revalidateServer(request: CallerRequest, slot: Slot): ServerRecord | undefined {
    const server = this.#routing.server(slot.serverId);
    const isOwner = !request.isKeyed || this.#ownerOf(request) === slot.serverId;
    const isPaused = this.#routing.pauses.remainingMilliseconds(slot.serverId, performance.now()) > 0;
    return server?.service === request.service && isOwner && !isPaused && !request.signal.aborted
      ? server
      : undefined;
  }

  async #send(request: CallerRequest, server: ServerRecord, slot: Slot): Promise<ServerCallResult> {
    const startedAt = performance.now();
    const timeoutMilliseconds = Math.floor(request.deadlineAt - startedAt);
    if (timeoutMilliseconds < MIN_ATTEMPT_MILLISECONDS) {
      slot.finish('cancelled');
      return { kind: 'not-written' };
    }
    const result = await this.#transport.call({
      requestId: request.id,
      serverId: server.id,
      address: server.address,
      host: request.host,
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body,
      isIdempotent: request.route.kind === 'idempotent',
      timeoutMilliseconds,
      maxIdleConnections: this.#routing.maxIdleConnections(request.service),
      signal: request.signal,
    });
    const statements = statementsOf(result);
    if (statements !== undefined) {
      this.#routing.recordStatements(server, statements);
    }
    slot.finish(attemptOutcomeOf(result), statements);
    if (result.kind !== 'answered') {
      this.#logger.log('info', 'attempt-failed', {
        request: request.id,
        service: request.service,
        server: server.id,
        coordinator: slot.coordinatorId,
        key: request.key,
        result: result.kind,
        reason:
          result.kind === 'lost' ? result.reason : result.kind === 'refused' ? result.refusal : undefined,
        milliseconds: Math.round(performance.now() - startedAt),
        left: Math.round(request.deadlineAt - performance.now()),
      });
    }
    return result;
  }

  #decideRetry(request: CallerRequest, server: ServerRecord, result: ServerCallResult): RetryDecision {
    switch (result.kind) {
      case 'answered':
        this.#crashDetector.recordResponse(request);
        return { kind: 'final', outcome: { ...result, serverId: server.id } };
      case 'refused': {
        const outcome = notRun(
          result.refusal === 'misdirected' ? 'no-owner' : 'server-refused',
          Math.max(NO_SERVER_RETRY_AFTER_MILLISECONDS / 2, result.statements?.pauseMilliseconds ?? 0),
        );
        return {
          kind: 'retry',
          outcome,
          wait: this.#retryWaitAfter(request, result.refusal),
          usesRetryBudget: true,
        };
      }
      case 'not-written':
        return {
          kind: 'retry',
          outcome: notRun('unreachable', NO_SERVER_RETRY_AFTER_MILLISECONDS),
          wait: request.isKeyed ? 'delay' : 'none',
          usesRetryBudget: false,
        };
      case 'lost': {
        if (result.reason === 'connection-lost' && !request.signal.aborted) {
          this.#crashDetector.recordLoss(request, server);
        }
        const outcome: RequestOutcome = { kind: 'unknown', reason: result.reason };
        const canRetry = request.route.kind === 'idempotent' && !request.signal.aborted;
        return canRetry
          ? { kind: 'retry', outcome, wait: 'none', usesRetryBudget: true }
          : { kind: 'final', outcome };
      }
    }
  }

  #retryWaitAfter(request: CallerRequest, refusal: ServerRefusal): RetryWait {
    switch (refusal) {
      case 'misdirected':
        return request.isKeyed && !this.#hasUnconfirmedOwner(request) ? 'next-owner' : 'delay';
      case 'overloaded':
        return request.isKeyed ? 'delay' : 'none';
    }
  }

  #canRetry(request: CallerRequest, sentCount: number, usesRetryBudget: boolean): boolean {
    return (
      sentCount < request.route.maxAttempts &&
      !request.signal.aborted &&
      performance.now() + MIN_ATTEMPT_MILLISECONDS < request.deadlineAt &&
      (!usesRetryBudget || this.#retryBudget.tryTake(request.service))
    );
  }
}

function notRun(
  reason: NotRunReason,
  retryAfterMilliseconds: number,
): Extract<RequestOutcome, { kind: 'not-run' }> {
  return { kind: 'not-run', reason, retryAfterMilliseconds };
}

/** @returns undefined if there was no response. */
function statementsOf(result: ServerCallResult): ServerStatements | undefined {
  return result.kind === 'not-written' ? undefined : result.statements;
}

function attemptOutcomeOf(result: ServerCallResult): AttemptOutcome {
  switch (result.kind) {
    case 'answered':
      return result.status >= 500 ? 'failed' : 'answered';
    case 'refused':
      return 'refused';
    case 'not-written':
      return 'unreachable';
    case 'lost':
      switch (result.reason) {
        case 'deadline':
          return 'silent';
        case 'caller-left':
          return 'cancelled';
        case 'connection-lost':
        case 'answer-damaged':
        case 'answer-too-large':
          return 'failed';
      }
  }
}
