import { createHash } from 'node:crypto';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { CallerRequest } from './callerRequest.js';

/** Hash of a request's service, method, target and body. A resent request has the same fingerprint. */
export type RequestFingerprint = string;

/** Number of lost connections to servers after which a request is refused. */
const LOSS_LIMIT = 3;
const SUSPECT_RETENTION_MILLISECONDS = 600_000;
const MAXIMUM_SUSPECTS = 1_000;

interface Suspect {
  losses: number;
  readonly firstLossAt: number;
}

/** A request that was in flight when connections to servers were lost. */
export interface SuspectReport {
  readonly fingerprint: RequestFingerprint;
  readonly losses: number;
}

/**
 * Detects requests that crash servers, so that they can be refused. Every request whose connection to a server
 * is lost is suspected. A response clears the suspicion, since a harmless request may be in flight when another
 * one crashes the server.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  readonly #onDidRecordLoss = new Emitter<void>();
  #refusedFingerprints: ReadonlySet<RequestFingerprint> = new Set();

  /** Fires after each recorded loss, so that it can be reported to the other entry VMs at once. */
  readonly onDidRecordLoss = this.#onDidRecordLoss.event;

  /** Whether no request is suspected or refused. Fingerprints need not be computed then. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0 && this.#refusedFingerprints.size === 0;
  }

  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.#suspects.has(fingerprint);
  }

  isRefused(fingerprint: RequestFingerprint): boolean {
    const losses = this.#suspects.get(fingerprint)?.losses ?? 0;
    return losses >= LOSS_LIMIT || this.#refusedFingerprints.has(fingerprint);
  }

  recordLoss(fingerprint: RequestFingerprint): void {
    this.#removeExpired();
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined) {
      suspect.losses += 1;
    } else if (this.#suspects.size < MAXIMUM_SUSPECTS) {
      this.#suspects.set(fingerprint, { losses: 1, firstLossAt: performance.now() });
    }
    this.#onDidRecordLoss.fire();
  }

  recordResponse(fingerprint: RequestFingerprint): void {
    this.#suspects.delete(fingerprint);
  }

  /** Losses recorded by this entry VM, which the assigner adds up over all entry VMs. */
  report(): readonly SuspectReport[] {
    this.#removeExpired();
    return [...this.#suspects].map(([fingerprint, { losses }]) => ({ fingerprint, losses }));
  }

  /** Replaces the set of requests that are refused because of the losses of all entry VMs. */
  setRefusedFingerprints(fingerprints: readonly RequestFingerprint[]): void {
    this.#refusedFingerprints = new Set(fingerprints);
  }

  #removeExpired(): void {
    const expiryLimit = performance.now() - SUSPECT_RETENTION_MILLISECONDS;
    for (const [fingerprint, { firstLossAt: since }] of this.#suspects) {
      if (since < expiryLimit) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}

/** Adds up the losses of all entry VMs. @returns the requests that every entry VM must refuse. */
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
