import { createHash } from 'node:crypto';
import type { CallerRequest } from './callerRequest.js';

/** Connections lost in a row on one request after which it is refused. */
const LOSS_LIMIT = 2;
const MEMORY_MILLISECONDS = 120_000;
const MAXIMUM_SUSPECTS = 1_000;

interface Suspect {
  readonly serverIds: Set<string>;
  readonly since: number;
}

/**
 * Refuses requests that crash the servers that run them. Such a request comes again with the same path and body,
 * on other identifiers. An answer clears a request that was in flight by chance when its server was lost.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<string, Suspect>();

  isRefused(request: CallerRequest): boolean {
    if (this.#suspects.size === 0) {
      return false;
    }
    return (this.#suspects.get(fingerprintOf(request))?.serverIds.size ?? 0) >= LOSS_LIMIT;
  }

  recordAnswer(request: CallerRequest): void {
    if (this.#suspects.size > 0) {
      this.#suspects.delete(fingerprintOf(request));
    }
  }

  recordLoss(request: CallerRequest, serverId: string): void {
    this.#forgetOld();
    const fingerprint = fingerprintOf(request);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined) {
      suspect.serverIds.add(serverId);
    } else if (this.#suspects.size < MAXIMUM_SUSPECTS) {
      this.#suspects.set(fingerprint, { serverIds: new Set([serverId]), since: performance.now() });
    }
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

function fingerprintOf({ service, method, target, body }: CallerRequest): string {
  return createHash('sha256').update(`${service} ${method} ${target}\n`).update(body).digest('base64url');
}
