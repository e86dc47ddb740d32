import { firstHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { KeyHash, KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import {
  findServer,
  ownerOfUnit,
  type ServerRecord,
  unitOfKey,
} from '@hickoryhoist/protocol/common/assignment.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { ENTRY_VM_GROUP } from '@hickoryhoist/ownership/common/entryVmControl.js';
import type { OwnershipHolder } from '@hickoryhoist/ownership/common/ownershipHolder.js';
import { type CallerRequest, remainingMilliseconds } from './callerRequest.js';
import type { IdempotencyLedger } from './idempotencyLedger.js';
import type { RoutingState } from './routingState.js';
import { type RequestOutcome, type NotRunReason, type UnknownReason } from './requestOutcome.js';
import type { RequestExecutor } from './requestExecutor.js';
import type { AttemptResult, ServerTransport } from './serverTransport.js';

const FORWARD_RETRY_PAUSE_MILLISECONDS = 20;

/** Dependencies of an `IdempotencyKeyRouter`. */
export interface IdempotencyKeyRouterOptions {
  readonly requestAddress: string;
  readonly hasher: KeyHasher;
  readonly routing: RoutingState;
  readonly holder: OwnershipHolder;
  readonly ledger: IdempotencyLedger;
  readonly executor: RequestExecutor;
  readonly transport: ServerTransport;
}

/**
 * Forwards requests with an idempotency key to the entry VM that owns the key. Resends of the key therefore reach
 * the ledger of one entry VM, whichever entry VM receives them.
 */
export class IdempotencyKeyRouter {
  readonly #options: IdempotencyKeyRouterOptions;

  constructor(options: IdempotencyKeyRouterOptions) {
    this.#options = options;
  }

  /**
   * Runs a request that carries an idempotency key, or forwards it to the owner of the key. Only the owner knows
   * whether the key was used before, so the outcome is unknown if the owner cannot be reached. The caller can
   * resend the request safely.
   */
  async execute(request: CallerRequest, idempotencyKey: string): Promise<RequestOutcome> {
    const keyHash = this.#options.hasher.hash(idempotencyKey);
    while (remainingMilliseconds(request) > 0) {
      if (this.#options.holder.owns(keyHash)) {
        return this.executeAsOwner(request, idempotencyKey, keyHash);
      }
      const owner = this.#findOwner(keyHash);
      if (owner !== undefined && owner.address !== this.#options.requestAddress) {
        const attempt = await this.#forward(request, owner, keyHash);
        const outcome = readForwardedOutcome(attempt);
        if (outcome !== undefined) {
          return outcome;
        }
      }
      await delay(FORWARD_RETRY_PAUSE_MILLISECONDS);
    }
    return { kind: 'unknown', reason: 'idempotency-key-home-unreachable' };
  }

  /** Runs a request with the ledger of this process, which must own the key. */
  async executeAsOwner(
    request: CallerRequest,
    idempotencyKey: string,
    keyHash: KeyHash,
  ): Promise<RequestOutcome> {
    const { holder, ledger, executor } = this.#options;
    const tracking = holder.track(keyHash);
    try {
      return await ledger.run({ ...request, idempotencyKey }, holder.ownedSince(keyHash), () =>
        executor.execute(request, () => holder.owns(keyHash)),
      );
    } finally {
      tracking.dispose();
    }
  }

  #findOwner(keyHash: KeyHash): ServerRecord | undefined {
    const assignment = this.#options.routing.assignment(ENTRY_VM_GROUP);
    return assignment === undefined
      ? undefined
      : findServer(assignment, ownerOfUnit(assignment, unitOfKey(assignment, keyHash)));
  }

  #forward(request: CallerRequest, owner: ServerRecord, keyHash: KeyHash): Promise<AttemptResult> {
    const timeoutMilliseconds = Math.max(1, Math.floor(remainingMilliseconds(request)));
    const headers: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(request.headers)) {
      headers[name] = typeof value === 'string' ? value : [...value];
    }
    delete headers['content-length'];
    delete headers['transfer-encoding'];
    delete headers.connection;
    return this.#options.transport.send({
      address: owner.address,
      method: request.method,
      target: request.target,
      headers: {
        ...headers,
        [headerNames.requestId]: request.id,
        [headerNames.deadline]: timeoutMilliseconds.toString(),
        [headerNames.handedOver]: keyHash,
      },
      body: request.body,
      requestId: request.id,
      isIdempotent: false,
      timeoutMilliseconds,
      answerLimitBytes: request.service.answerLimitBytes,
      connectionLimit: request.service.connectionsPerServer,
      signal: request.signal,
      mayStillSend: () => true,
    });
  }
}

/** Reads the outcome from the owner's response. @returns undefined if the request is to be forwarded again. */
function readForwardedOutcome(attempt: AttemptResult): RequestOutcome | undefined {
  if (attempt.kind !== 'answered') {
    return undefined;
  }
  const { status, headers, body } = attempt;
  const reason = firstHeaderValue(headers, headerNames.reason);
  switch (firstHeaderValue(headers, headerNames.outcome)) {
    case 'not-run': {
      const retryAfter = firstHeaderValue(headers, 'retry-after');
      const outcome = { kind: 'not-run', reason: reason as NotRunReason } as const;
      return retryAfter === undefined ? outcome : { ...outcome, retryAfterSeconds: Number(retryAfter) };
    }
    case 'unknown':
      return { kind: 'unknown', reason: reason as UnknownReason };
    default:
      return { kind: 'answered', status, headers, body };
  }
}
