import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { CallerRequest, RequestOutcome, NotRunReason } from './callerRequest.js';
import type { CrashingRequestDetector } from './crashingRequestDetector.js';
import type { RetryBudget } from './retryBudget.js';
import type { ServerCallResult, ServerRefusal, ServerTransport } from './serverCall.js';
import type { AttemptOutcome } from './serverStatistics.js';
import type { ServerRecord } from './serverRecord.js';
import type { Slot, SlotResult, SlotSource } from './slotSource.js';

/** Pause that a caller is asked to make when there is no server or owner for now, in milliseconds. */
const NO_SERVER_RETURN_MILLISECONDS = 250;
/** Least time that must be left for an attempt, in milliseconds. */
const LEAST_ATTEMPT_MILLISECONDS = 5;
/** Pause before a misdirected request is looked up once more, in milliseconds; a new owner is known by then. */
const LOOK_UP_PAUSE_MILLISECONDS = 40;
/** Time that a request may always wait for the next owner of its key, in milliseconds: a hand-over without load. */
const HAND_OVER_MILLISECONDS = 350;
/** Attempts of one request, refused and unwritten ones included. */
const MOST_ROUNDS = 5;

/** What the dispatcher reads of servers and owners. */
export interface RoutingView {
  /** A server that may get requests now. */
  server(id: string): ServerRecord | undefined;
  /** Server that owns a key of a keyed service. */
  ownerOf(service: string, key: number): string | undefined;
  /** Whether the owner of a key is giving it up, so that another one is about to be known. */
  isOwnershipInTransfer(service: string, key: number): boolean;
  /** Whether the owner of a key is so new that it may not have been granted the key yet. */
  hasUnconfirmedOwner(service: string, key: number): boolean;
  /** Whether changes of owners reach this process at present. */
  receivesOwnerUpdates(): boolean;
  /** Connections that this process may keep open to one server of a service without a request. */
  maxIdleConnections(service: string): number;
  /** Fires when keys may have changed hands. */
  onDidChangeOwners: Event<void>;
  pause(milliseconds: number): Promise<void>;
}

/** What is waited for before a request is sent once more. */
type WaitBetweenAttempts = 'nothing' | 'pause' | 'next-owner';

/** How an attempt was judged. */
type Judgement =
  | { readonly kind: 'final'; readonly outcome: RequestOutcome }
  /** The request may be sent once more; the outcome is told when that is not possible. */
  | {
      readonly kind: 'again';
      readonly outcome: RequestOutcome;
      readonly wait: WaitBetweenAttempts;
      readonly needsAllowance: boolean;
    };

/** Has requests run by the right servers and says truthfully what became of them. */
export class RequestDispatcher {
  readonly #slots: SlotSource;
  readonly #transport: ServerTransport;
  readonly #knowledge: RoutingView;
  readonly #allowance: RetryBudget;
  readonly #suspects: CrashingRequestDetector;
  readonly #availabilityZone: string;
  readonly #logger: Logger;

  constructor(
    availabilityZone: string,
    slots: SlotSource,
    transport: ServerTransport,
    knowledge: RoutingView,
    allowance: RetryBudget,
    suspects: CrashingRequestDetector,
    logger: Logger,
  ) {
    this.#availabilityZone = availabilityZone;
    this.#slots = slots;
    this.#transport = transport;
    this.#knowledge = knowledge;
    this.#allowance = allowance;
    this.#suspects = suspects;
    this.#logger = logger;
  }

  async dispatch(request: CallerRequest): Promise<RequestOutcome> {
    this.#allowance.recordRequest(request.service);
    const failedIds: string[] = [];
    let sent = 0;
    let doubt: RequestOutcome | undefined;
    let last: RequestOutcome = notRun('no-server', NO_SERVER_RETURN_MILLISECONDS);
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const slot = await this.#acquire(request, failedIds);
      if (slot.kind === 'not-run') {
        return doubt ?? (round === 0 ? slot : last);
      }
      const server = this.#mayStillSend(request, slot.slot);
      if (server === undefined) {
        slot.slot.finish('cancelled');
        // The coordinator may learn of a leaving server later than this process.
        failedIds.push(slot.slot.serverId);
        last = notRun(request.isKeyed ? 'no-owner' : 'no-server', LOOK_UP_PAUSE_MILLISECONDS);
        if (request.signal.aborted) {
          break;
        }
        await this.#knowledge.pause(LOOK_UP_PAUSE_MILLISECONDS);
        continue;
      }
      const result = await this.#send(request, server, slot.slot);
      sent += result.kind === 'lost' ? 1 : 0;
      const judgement = this.#judge(request, server, result);
      if (judgement.kind === 'final') {
        return judgement.outcome;
      }
      last = judgement.outcome;
      doubt = last.kind === 'unknown' ? last : doubt;
      failedIds.push(server.id);
      if (
        !(await this.#waitBetweenAttempts(request, server.id, judgement.wait)) ||
        !this.#maySendAgain(request, sent, judgement.needsAllowance)
      ) {
        break;
      }
    }
    return doubt ?? last;
  }

  async #acquire(
    request: CallerRequest,
    excludedIds: readonly string[],
  ): Promise<{ kind: 'slot'; slot: Slot } | Extract<RequestOutcome, { kind: 'not-run' }>> {
    if (this.#suspects.isRefused(request)) {
      return notRun('crashes-servers', NO_SERVER_RETURN_MILLISECONDS);
    }
    const { service, key } = request;
    if (request.isKeyed && key !== undefined) {
      const until = performance.now() + HAND_OVER_MILLISECONDS;
      await this.#pauseWhile(request, until, () => this.#knowledge.isOwnershipInTransfer(service, key));
    }
    if (request.signal.aborted) {
      return notRun('no-owner', NO_SERVER_RETURN_MILLISECONDS);
    }
    const owner = request.isKeyed ? this.#owner(request) : undefined;
    if (request.isKeyed && owner === undefined) {
      return notRun('no-owner', NO_SERVER_RETURN_MILLISECONDS);
    }
    const askedAt = performance.now();
    const { result, hasMoved } = await this.#askForSlot(request, owner, excludedIds);
    if (result.kind === 'granted') {
      return { kind: 'slot', slot: result.slot };
    }
    if (hasMoved) {
      return this.#acquire(request, excludedIds);
    }
    this.#logger.log('info', 'slot-refused', {
      request: request.id,
      service: request.service,
      server: owner,
      refusal: result.refusal,
      coordinator: result.coordinatorId,
      ...result.basis,
      waited: Math.round(performance.now() - askedAt),
      goalLeft: Math.round(request.goalAt - askedAt),
      left: Math.round(request.deadlineAt - askedAt),
      retryAfter: Math.round(result.retryAfterMilliseconds),
    });
    return notRun(result.refusal, result.retryAfterMilliseconds);
  }

  /** Asks for a slot, and withdraws when the key of the request goes to another server meanwhile. */
  async #askForSlot(
    request: CallerRequest,
    owner: string | undefined,
    excludedIds: readonly string[],
  ): Promise<{ result: SlotResult; hasMoved: boolean }> {
    const withdrawal = new AbortController();
    const withdraw = (): void => {
      withdrawal.abort();
    };
    const hasMoved = (): boolean => request.isKeyed && this.#owner(request) !== owner;
    const subscription = this.#knowledge.onDidChangeOwners(() => {
      if (hasMoved()) {
        withdraw();
      }
    });
    request.signal.addEventListener('abort', withdraw, { once: true });
    try {
      const result = await this.#slots.acquire(
        request.service,
        {
          serverId: owner,
          excludedIds: [...excludedIds],
          availabilityZone: this.#availabilityZone,
          rank: request.route.rank,
          bodyBytes: request.body.length,
          goalAt: request.goalAt,
          deadlineAt: request.deadlineAt,
        },
        withdrawal.signal,
      );
      return { result, hasMoved: hasMoved() && !request.signal.aborted };
    } finally {
      subscription.dispose();
      request.signal.removeEventListener('abort', withdraw);
    }
  }

  /** @returns false when sending once more would lead nowhere. */
  async #waitBetweenAttempts(
    request: CallerRequest,
    serverId: string,
    wait: WaitBetweenAttempts,
  ): Promise<boolean> {
    switch (wait) {
      case 'nothing':
        return true;
      case 'pause':
        await this.#knowledge.pause(LOOK_UP_PAUSE_MILLISECONDS);
        return true;
      case 'next-owner':
        return this.#waitForNextOwner(request, serverId);
    }
  }

  /** @returns whether a key that its owner has given up may be asked for again. */
  async #waitForNextOwner(request: CallerRequest, formerOwnerId: string): Promise<boolean> {
    const startedAt = performance.now();
    const isHeldByFormer = (): boolean =>
      this.#owner(request) === formerOwnerId && !this.#hasNewOwner(request);
    const isTold = this.#knowledge.receivesOwnerUpdates();
    if (isTold) {
      // The server that gives a key up finishes what runs on it first, which takes about as long as a request.
      const until = Math.max(startedAt + HAND_OVER_MILLISECONDS, request.goalAt);
      await this.#pauseWhile(request, until, isHeldByFormer);
    }
    this.#logger.log('info', 'next-owner-waited-for', {
      request: request.id,
      service: request.service,
      key: request.key,
      former: formerOwnerId,
      owner: this.#owner(request),
      isTold,
      isFound: !isHeldByFormer(),
      milliseconds: Math.round(performance.now() - startedAt),
    });
    return !isHeldByFormer();
  }

  /** Waits in short steps. A caller that is sent away during a hand-over comes back much later. */
  async #pauseWhile(request: CallerRequest, until: number, isWanted: () => boolean): Promise<void> {
    const end = Math.min(until, request.deadlineAt - LEAST_ATTEMPT_MILLISECONDS);
    while (isWanted() && performance.now() < end && !request.signal.aborted) {
      await this.#knowledge.pause(LOOK_UP_PAUSE_MILLISECONDS / 2);
    }
  }

  #owner(request: CallerRequest): string | undefined {
    return request.key === undefined ? undefined : this.#knowledge.ownerOf(request.service, request.key);
  }

  #hasNewOwner({ service, key }: CallerRequest): boolean {
    return key !== undefined && this.#knowledge.hasUnconfirmedOwner(service, key);
  }

  /** Looks the server up directly before sending: a slot may have been waited for. */
  #mayStillSend(request: CallerRequest, slot: Slot): ServerRecord | undefined {
    const server = this.#knowledge.server(slot.serverId);
    const isOwner = !request.isKeyed || this.#owner(request) === slot.serverId;
    return server?.service === request.service && isOwner && !request.signal.aborted ? server : undefined;
  }

  async #send(request: CallerRequest, server: ServerRecord, slot: Slot): Promise<ServerCallResult> {
    const startedAt = performance.now();
    const timeoutMilliseconds = Math.floor(request.deadlineAt - startedAt);
    if (timeoutMilliseconds < LEAST_ATTEMPT_MILLISECONDS) {
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
      maxIdleConnections: this.#knowledge.maxIdleConnections(request.service),
      signal: request.signal,
    });
    slot.finish(slotUseOf(result));
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

  #judge(request: CallerRequest, server: ServerRecord, result: ServerCallResult): Judgement {
    switch (result.kind) {
      case 'answered':
        this.#suspects.recordAnswer(request);
        return { kind: 'final', outcome: { ...result, serverId: server.id } };
      case 'refused': {
        const outcome = notRun(
          result.refusal === 'misdirected' ? 'no-owner' : 'server-refused',
          NO_SERVER_RETURN_MILLISECONDS / 2,
        );
        return {
          kind: 'again',
          outcome,
          wait: this.#waitAfterRefusal(request, result.refusal),
          needsAllowance: true,
        };
      }
      case 'not-written':
        return {
          kind: 'again',
          outcome: notRun('unreachable', NO_SERVER_RETURN_MILLISECONDS),
          wait: request.isKeyed ? 'pause' : 'nothing',
          needsAllowance: false,
        };
      case 'lost': {
        if (result.reason === 'connection-lost' && !request.signal.aborted) {
          this.#suspects.recordLoss(request, server.id);
        }
        const outcome: RequestOutcome = { kind: 'unknown', reason: result.reason };
        const mayRepeat = request.route.kind === 'idempotent' && !request.signal.aborted;
        return mayRepeat
          ? { kind: 'again', outcome, wait: 'nothing', needsAllowance: true }
          : { kind: 'final', outcome };
      }
    }
  }

  #waitAfterRefusal(request: CallerRequest, refusal: ServerRefusal): WaitBetweenAttempts {
    switch (refusal) {
      case 'misdirected':
        return request.isKeyed && !this.#hasNewOwner(request) ? 'next-owner' : 'pause';
      case 'overloaded':
        return request.isKeyed ? 'pause' : 'nothing';
    }
  }

  #maySendAgain(request: CallerRequest, sent: number, needsAllowance: boolean): boolean {
    return (
      sent < request.route.maxAttempts &&
      !request.signal.aborted &&
      performance.now() + LEAST_ATTEMPT_MILLISECONDS < request.deadlineAt &&
      (!needsAllowance || this.#allowance.tryTake(request.service))
    );
  }
}

function notRun(
  reason: NotRunReason,
  retryAfterMilliseconds: number,
): Extract<RequestOutcome, { kind: 'not-run' }> {
  return { kind: 'not-run', reason, retryAfterMilliseconds };
}

function slotUseOf(result: ServerCallResult): AttemptOutcome {
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
          return 'failed';
      }
  }
}
