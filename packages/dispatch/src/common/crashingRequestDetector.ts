import { createHash } from 'node:crypto';
import type { CallerRequest } from './callerRequest.js';
import type { ServerRecord } from './serverRecord.js';

/** A request is refused after this many servers lost their connection on it without a response in between. */
const SERVER_LOSS_LIMIT = 2;
const SUSPECT_RETENTION_MILLISECONDS = 120_000;
const MAX_SUSPECTS = 1_000;
/** Time in which a retry may clear a request before other entry VMs are told of a loss, in milliseconds. */
const SHARING_DELAY_MILLISECONDS = 200;
/** Characters of a fingerprint; 96 bits. */
const FINGERPRINT_LENGTH = 16;

/** What an entry VM tells the others about requests that may crash servers. */
export interface CrashEvidence {
  /** Fingerprints of requests, each with a server incarnation that lost its connection on it. */
  readonly lost: readonly (readonly [fingerprint: string, server: string])[];
  /** Fingerprints of requests that got a response after all. */
  readonly answered: readonly string[];
}

interface Suspect {
  /** Server incarnations that lost their connection on the request. */
  readonly servers: Set<string>;
  readonly since: number;
  /** Losses that other entry VMs have not been told of. */
  unshared: { readonly server: string; readonly at: number }[];
  /** Whether other entry VMs know of the request. */
  isShared: boolean;
}

/**
 * Detects requests that crash the servers that run them. A retry of such a request has another request identifier but the
 * same path and body, so requests are recognized by a fingerprint of these. A response clears a request that was merely
 * in flight when its server failed for another reason.
 *
 * Load pattern: such a request comes again and again, at any entry VM, and each crash breaks off what else runs at the
 * server. The evidence of all entry VMs counts. Losses are shared after a delay, because most are of requests that are
 * answered on their retry; a response at any entry VM clears a popular request at all of them.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<string, Suspect>();
  #answered: string[] = [];

  isRefused(request: CallerRequest): boolean {
    if (this.#suspects.size === 0) {
      return false;
    }
    const suspect = this.#suspects.get(fingerprintOf(request));
    return suspect !== undefined && isCurrent(suspect) && suspect.servers.size >= SERVER_LOSS_LIMIT;
  }

  recordResponse(request: CallerRequest): void {
    if (this.#suspects.size === 0) {
      return;
    }
    const fingerprint = fingerprintOf(request);
    if (this.#suspects.get(fingerprint)?.isShared === true) {
      this.#answered.push(fingerprint);
    }
    this.#suspects.delete(fingerprint);
  }

  recordLoss(request: CallerRequest, { id, incarnation }: Pick<ServerRecord, 'id' | 'incarnation'>): void {
    const server = `${id}/${incarnation.toString()}`;
    const suspect = this.#addLoss(fingerprintOf(request), server);
    suspect?.unshared.push({ server, at: performance.now() });
  }

  /** Records what another entry VM has found. */
  recordEvidence({ lost, answered }: CrashEvidence): void {
    for (const [fingerprint, server] of lost) {
      const suspect = this.#addLoss(fingerprint, server);
      if (suspect !== undefined) {
        suspect.isShared = true;
      }
    }
    for (const fingerprint of answered) {
      this.#suspects.delete(fingerprint);
    }
  }

  /** Returns what other entry VMs should be told now, once; undefined if there is nothing. */
  takeEvidence(): CrashEvidence | undefined {
    if (this.#suspects.size === 0 && this.#answered.length === 0) {
      return undefined;
    }
    const dueAt = performance.now() - SHARING_DELAY_MILLISECONDS;
    const lost: [string, string][] = [];
    for (const [fingerprint, suspect] of this.#suspects) {
      const due = suspect.unshared.filter(({ at }) => at <= dueAt);
      if (due.length > 0) {
        suspect.unshared = suspect.unshared.filter(({ at }) => at > dueAt);
        suspect.isShared = true;
        lost.push(...due.map(({ server }): [string, string] => [fingerprint, server]));
      }
    }
    const answered = this.#answered;
    this.#answered = [];
    return lost.length === 0 && answered.length === 0 ? undefined : { lost, answered };
  }

  #addLoss(fingerprint: string, server: string): Suspect | undefined {
    this.#removeExpired();
    let suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      if (this.#suspects.size >= MAX_SUSPECTS) {
        return undefined;
      }
      suspect = { servers: new Set(), since: performance.now(), unshared: [], isShared: false };
      this.#suspects.set(fingerprint, suspect);
    }
    suspect.servers.add(server);
    return suspect;
  }

  #removeExpired(): void {
    for (const [fingerprint, suspect] of this.#suspects) {
      if (!isCurrent(suspect)) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}

function isCurrent({ since }: Suspect): boolean {
  return performance.now() - since < SUSPECT_RETENTION_MILLISECONDS;
}

function fingerprintOf({ service, method, target, body }: CallerRequest): string {
  return createHash('sha256')
    .update(`${service} ${method} ${target}\n`)
    .update(body)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}
