import { createHash } from 'node:crypto';
import { idempotencyKeyTime } from './idempotencyKey.js';
import type { RequestOutcome } from './requestOutcome.js';

/** Limits of a ledger. */
export interface IdempotencyLedgerOptions {
  /** Time for which outcomes are kept, and within which callers may resend a request. */
  readonly retentionMilliseconds: number;
  /** Maximum difference between the wall clocks of a caller and of this process. */
  readonly clockToleranceMilliseconds: number;
  readonly maximumEntries: number;
}

export const defaultIdempotencyLedgerOptions: IdempotencyLedgerOptions = {
  retentionMilliseconds: 600_000,
  clockToleranceMilliseconds: 2_000,
  maximumEntries: 200_000,
};

interface LedgerEntry {
  readonly fingerprint: string;
  readonly recordedAt: number;
  readonly outcome: Promise<RequestOutcome>;
}

/** Parts of a request that must be the same each time it is resent. */
export interface LedgerRequest {
  readonly idempotencyKey: string;
  readonly method: string;
  readonly target: string;
  readonly body: Buffer;
}

/**
 * Keeps the outcomes of requests in memory by idempotency key. For a key that may have been used before the
 * ledger's records begin, the outcome is `unknown`, and the request is not run a second time.
 */
export class IdempotencyLedger {
  readonly #options: IdempotencyLedgerOptions;
  readonly #entries = new Map<string, LedgerEntry>();

  constructor(options: IdempotencyLedgerOptions = defaultIdempotencyLedgerOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Runs a request unless its key is recorded already.
   * @param recordingSince wall-clock time since which this ledger records every use of the key; undefined if it
   *   has always recorded them.
   */
  run(
    request: LedgerRequest,
    recordingSince: number | undefined,
    execute: () => Promise<RequestOutcome>,
  ): Promise<RequestOutcome> {
    this.#removeExpired();
    const fingerprint = fingerprintOf(request);
    const entry = this.#entries.get(request.idempotencyKey);
    if (entry !== undefined) {
      return entry.fingerprint === fingerprint
        ? entry.outcome
        : Promise.resolve({ kind: 'not-run', reason: 'idempotency-key-reused' });
    }
    const rejection = this.#findRejection(request.idempotencyKey, recordingSince);
    if (rejection !== undefined) {
      return Promise.resolve(rejection);
    }
    return this.#record(request.idempotencyKey, fingerprint, execute);
  }

  #record(
    idempotencyKey: string,
    fingerprint: string,
    execute: () => Promise<RequestOutcome>,
  ): Promise<RequestOutcome> {
    const outcome = execute().then((result) => {
      if (result.kind === 'not-run') {
        this.#entries.delete(idempotencyKey);
      }
      return result;
    });
    this.#entries.set(idempotencyKey, { fingerprint, recordedAt: Date.now(), outcome });
    return outcome;
  }

  #findRejection(idempotencyKey: string, recordingSince: number | undefined): RequestOutcome | undefined {
    const { clockToleranceMilliseconds, retentionMilliseconds, maximumEntries } = this.#options;
    const now = Date.now();
    const keyTime = idempotencyKeyTime(idempotencyKey);
    if (keyTime !== undefined && keyTime > now + clockToleranceMilliseconds) {
      return { kind: 'not-run', reason: 'idempotency-key-from-future' };
    }
    const retainedSince = now - retentionMilliseconds;
    const completeSince = Math.max(recordingSince ?? 0, keyTime === undefined ? 0 : retainedSince);
    const earliestPossibleUse = keyTime ?? now - retentionMilliseconds;
    if (completeSince > 0 && earliestPossibleUse <= completeSince + clockToleranceMilliseconds) {
      return { kind: 'unknown', reason: 'idempotency-key-may-predate-ledger' };
    }
    if (this.#entries.size >= maximumEntries) {
      return { kind: 'not-run', reason: 'overloaded', retryAfterSeconds: 1 };
    }
    return undefined;
  }

  #removeExpired(): void {
    const expiryLimit = Date.now() - this.#options.retentionMilliseconds;
    for (const [key, { recordedAt }] of this.#entries) {
      if (recordedAt >= expiryLimit) {
        return;
      }
      this.#entries.delete(key);
    }
  }
}

function fingerprintOf({ method, target, body }: LedgerRequest): string {
  return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('base64');
}
