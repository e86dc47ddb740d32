import { createHash } from 'node:crypto';
import { idempotencyKeyTime } from './idempotencyKey.js';
import type { RequestOutcome } from './requestOutcome.js';

/** Limits of a ledger; durations in milliseconds. */
export interface IdempotencyLedgerOptions {
  /** Time for which callers may resend, and for which outcomes are kept. */
  readonly resendHorizonMilliseconds: number;
  /** Largest difference between a caller's wall clock and ours. */
  readonly clockToleranceMilliseconds: number;
  readonly maximumEntries: number;
}

export const defaultIdempotencyLedgerOptions: IdempotencyLedgerOptions = {
  resendHorizonMilliseconds: 600_000,
  clockToleranceMilliseconds: 2_000,
  maximumEntries: 200_000,
};

interface LedgerEntry {
  readonly fingerprint: string;
  readonly recordedAt: number;
  readonly outcome: Promise<RequestOutcome>;
}

/** The request as far as the ledger compares it across resends. */
export interface LedgerRequest {
  readonly idempotencyKey: string;
  readonly method: string;
  readonly target: string;
  readonly body: Buffer;
}

/**
 * Remembers the outcomes of requests by idempotency key, in memory. A key that may have been used before the
 * memory began is answered `unknown` instead of being run again.
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
   * Runs the work of a key unless it was run before.
   * @param knownSince wall-clock time since which this ledger saw every use of the key; undefined when the
   *   key's first possible use was seen.
   */
  run(
    request: LedgerRequest,
    knownSince: number | undefined,
    work: () => Promise<RequestOutcome>,
  ): Promise<RequestOutcome> {
    this.#forgetOld();
    const fingerprint = fingerprintOf(request);
    const entry = this.#entries.get(request.idempotencyKey);
    if (entry !== undefined) {
      return entry.fingerprint === fingerprint
        ? entry.outcome
        : Promise.resolve({ kind: 'not-run', reason: 'idempotency-key-reused' });
    }
    const refusal = this.#refusal(request.idempotencyKey, knownSince);
    if (refusal !== undefined) {
      return Promise.resolve(refusal);
    }
    return this.#record(request.idempotencyKey, fingerprint, work);
  }

  #record(
    idempotencyKey: string,
    fingerprint: string,
    work: () => Promise<RequestOutcome>,
  ): Promise<RequestOutcome> {
    const outcome = work().then((result) => {
      if (result.kind === 'not-run') {
        this.#entries.delete(idempotencyKey);
      }
      return result;
    });
    this.#entries.set(idempotencyKey, { fingerprint, recordedAt: Date.now(), outcome });
    return outcome;
  }

  #refusal(idempotencyKey: string, knownSince: number | undefined): RequestOutcome | undefined {
    const { clockToleranceMilliseconds, resendHorizonMilliseconds, maximumEntries } = this.#options;
    const now = Date.now();
    const time = idempotencyKeyTime(idempotencyKey);
    if (time !== undefined && time > now + clockToleranceMilliseconds) {
      return { kind: 'not-run', reason: 'idempotency-key-from-future' };
    }
    const forgottenBefore = now - resendHorizonMilliseconds;
    const seenSince = Math.max(knownSince ?? 0, time === undefined ? 0 : forgottenBefore);
    const latestEarlierUse = time ?? now - resendHorizonMilliseconds;
    if (seenSince > 0 && latestEarlierUse <= seenSince + clockToleranceMilliseconds) {
      return { kind: 'unknown', reason: 'idempotency-key-may-predate-ledger' };
    }
    if (this.#entries.size >= maximumEntries) {
      return { kind: 'not-run', reason: 'overloaded', retryAfterSeconds: 1 };
    }
    return undefined;
  }

  #forgetOld(): void {
    const oldest = Date.now() - this.#options.resendHorizonMilliseconds;
    for (const [key, { recordedAt }] of this.#entries) {
      if (recordedAt >= oldest) {
        return;
      }
      this.#entries.delete(key);
    }
  }
}

function fingerprintOf({ method, target, body }: LedgerRequest): string {
  return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('base64');
}
