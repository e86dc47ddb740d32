import { createHash } from 'node:crypto';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { CallerRequest } from './callerRequest.js';

/** Identifies requests that do the same: service, method, target and body. */
export type RequestFingerprint = string;

/** Server losses after which a request is refused. */
const LOSS_LIMIT = 3;
const MEMORY_MILLISECONDS = 600_000;
const MAXIMUM_SUSPECTS = 1_000;

interface Suspect {
  losses: number;
  readonly since: number;
}

/** A request that was in flight when servers were lost. */
export interface SuspectReport {
  readonly fingerprint: RequestFingerprint;
  readonly losses: number;
}

/**
 * Refuses requests that crash servers. Every request in flight at a lost server is suspected; an answer clears
 * it, so that harmless requests that happened to be in flight are not blamed for long.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  readonly #onDidRecordLoss = new Emitter<void>();
  #refusedElsewhere: ReadonlySet<RequestFingerprint> = new Set();

  /** Fires when a request was in flight at a lost server, so that other entry VMs can be told at once. */
  readonly onDidRecordLoss = this.#onDidRecordLoss.event;

  /** Whether no request is suspected or refused, so that fingerprints need not be computed. */
  get isQuiet(): boolean {
    return this.#suspects.size === 0 && this.#refusedElsewhere.size === 0;
  }

  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.#suspects.has(fingerprint);
  }

  isRefused(fingerprint: RequestFingerprint): boolean {
    const losses = this.#suspects.get(fingerprint)?.losses ?? 0;
    return losses >= LOSS_LIMIT || this.#refusedElsewhere.has(fingerprint);
  }

  recordLoss(fingerprint: RequestFingerprint): void {
    this.#forgetOld();
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined) {
      suspect.losses += 1;
    } else if (this.#suspects.size < MAXIMUM_SUSPECTS) {
      this.#suspects.set(fingerprint, { losses: 1, since: performance.now() });
    }
    this.#onDidRecordLoss.fire();
  }

  recordAnswer(fingerprint: RequestFingerprint): void {
    this.#suspects.delete(fingerprint);
  }

  /** Suspects of this entry VM, for adding up over all of them. */
  report(): readonly SuspectReport[] {
    this.#forgetOld();
    return [...this.#suspects].map(([fingerprint, { losses }]) => ({ fingerprint, losses }));
  }

  /** Takes over what all entry VMs together have found. */
  setRefusedFingerprints(fingerprints: readonly RequestFingerprint[]): void {
    this.#refusedElsewhere = new Set(fingerprints);
  }

  #forgetOld(): void {
    const oldest = performance.now() - MEMORY_MILLISECONDS;
    for (const [fingerprint, { since }] of this.#suspects) {
      if (since < oldest) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}

/** Adds up the suspects of all entry VMs. @returns the requests to be refused everywhere. */
export function findCrashingRequests(
  reports: readonly (readonly SuspectReport[])[],
): readonly RequestFingerprint[] {
  const sums = new Map<RequestFingerprint, number>();
  for (const { fingerprint, losses } of reports.flat()) {
    sums.set(fingerprint, (sums.get(fingerprint) ?? 0) + losses);
  }
  return [...sums].filter(([, losses]) => losses >= LOSS_LIMIT).map(([fingerprint]) => fingerprint);
}

export function fingerprintOf({ service, method, target, body }: CallerRequest): RequestFingerprint {
  const hash = createHash('sha256').update(`${service.name} ${method} ${target}\n`).update(body);
  return hash.digest('base64url');
}
