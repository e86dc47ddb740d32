import { createHash } from 'node:crypto';
import type { CallerRequest } from './callerRequest.js';

/** A request is refused after this many servers lost their connection on it without a response in between. */
const SERVER_LOSS_LIMIT = 2;
const SUSPECT_RETENTION_MILLISECONDS = 120_000;
const MAX_SUSPECTS = 1_000;

interface Suspect {
  readonly serverIds: Set<string>;
  readonly since: number;
}

/**
 * Detects requests that crash the servers that run them. A retry of such a request has another request
 * identifier but the same path and body, so requests are recognized by a fingerprint of these. A response
 * clears a request that was merely in flight when its server failed for another reason.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<string, Suspect>();

  isRefused(request: CallerRequest): boolean {
    if (this.#suspects.size === 0) {
      return false;
    }
    return (this.#suspects.get(fingerprintOf(request))?.serverIds.size ?? 0) >= SERVER_LOSS_LIMIT;
  }

  recordResponse(request: CallerRequest): void {
    if (this.#suspects.size > 0) {
      this.#suspects.delete(fingerprintOf(request));
    }
  }

  recordLoss(request: CallerRequest, serverId: string): void {
    this.#removeExpired();
    const fingerprint = fingerprintOf(request);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined) {
      suspect.serverIds.add(serverId);
    } else if (this.#suspects.size < MAX_SUSPECTS) {
      this.#suspects.set(fingerprint, { serverIds: new Set([serverId]), since: performance.now() });
    }
  }

  #removeExpired(): void {
    const oldest = performance.now() - SUSPECT_RETENTION_MILLISECONDS;
    for (const [fingerprint, { since }] of this.#suspects) {
      if (since < oldest) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}

function fingerprintOf({ service, method, target, body }: CallerRequest): string {
  return createHash('sha256').update(`${service} ${method} ${target}\n`).update(body).digest('base64url');
}
