import { createHash } from 'node:crypto';
import type { CallerRequest } from './callerRequest.js';
import type { ServerRecord } from './serverRecord.js';

/** A request is refused after this many servers lost their connection on it without a response in between. */
const SERVER_LOSS_LIMIT = 2;
const SUSPECT_RETENTION_MILLISECONDS = 120_000;
const MAX_SUSPECTS = 1_000;
/** Time in which a retry may clear a request before other entry VMs are told of a loss, in milliseconds. */
const SHARING_DELAY_MILLISECONDS = 200;
/** Minimum time between two repetitions of what is known of a request that comes again, in milliseconds. */
const REPETITION_INTERVAL_MILLISECONDS = 1_000;
/** Entries of each kind in one message, which must fit into a datagram. */
const MAX_ENTRIES_PER_MESSAGE = 50;
/** Servers of one request in a repetition; more than the limit prove nothing further. */
const MAX_SERVERS_PER_SUSPECT = 4;
/** Characters of a fingerprint; 96 bits. */
const FINGERPRINT_LENGTH = 16;

/** All that an entry VM knows of a request that may crash servers. */
export type KnownSuspect = readonly [
  fingerprint: string,
  /** Server incarnations that lost their connection on it. */
  servers: readonly string[],
  /** Time since the first loss, in milliseconds. */
  age: number,
];

/** What an entry VM tells the others about requests that may crash servers. */
export interface CrashEvidence {
  /** Fingerprints of requests, each with a server incarnation that lost its connection on it. */
  readonly lost: readonly (readonly [fingerprint: string, server: string])[];
  /** Fingerprints of requests that got a response after all. */
  readonly answered: readonly string[];
  /** Repeated for entry VMs that have started since, or that missed a message. */
  readonly known: readonly KnownSuspect[];
}

interface Suspect {
  /** Server incarnations that lost their connection on the request. */
  readonly servers: Set<string>;
  /** Time of the first loss. */
  since: number;
  /** Losses that other entry VMs have not been told of. */
  unshared: { readonly server: string; readonly at: number }[];
  /** Whether other entry VMs know of the request. */
  isShared: boolean;
  /** Whether the request was refused since other entry VMs were last told of it. */
  isRepetitionDue: boolean;
  /** When an entry VM last told the others all that it knows of the request. */
  repeatedAt: number;
}

/**
 * Detects requests that crash the servers that run them. A retry of such a request has another request identifier but the
 * same path and body, so requests are recognized by a fingerprint of these. A response clears a request that was merely
 * in flight when its server failed for another reason.
 *
 * Load pattern: such a request comes again and again, at any entry VM, and each crash breaks off what else runs at the
 * server. The evidence of all entry VMs counts. Losses are shared after a delay, because most are of requests that are
 * answered on their retry; a response at any entry VM clears a popular request at all of them. The evidence outlives the
 * processes that collected it: whoever refuses a request repeats what is known of it, and a process that starts is told.
 */
export class CrashingRequestDetector {
  readonly #suspects = new Map<string, Suspect>();
  /** When requests that other entry VMs know of got a response, by fingerprint. */
  readonly #answeredAt = new Map<string, number>();
  readonly #unsharedAnswers = new Set<string>();

  /** Whether a request is refused. Other entry VMs are then told again what is known of it. */
  isRefused(request: CallerRequest): boolean {
    if (this.#suspects.size === 0) {
      return false;
    }
    const suspect = this.#suspects.get(fingerprintOf(request));
    if (suspect === undefined || !isCurrent(suspect) || !isRefusable(suspect)) {
      return false;
    }
    suspect.isRepetitionDue = true;
    return true;
  }

  recordResponse(request: CallerRequest): void {
    if (this.#suspects.size === 0) {
      return;
    }
    const fingerprint = fingerprintOf(request);
    if (this.#suspects.get(fingerprint)?.isShared === true) {
      this.#unsharedAnswers.add(fingerprint);
      this.#clear(fingerprint, performance.now());
    }
    this.#suspects.delete(fingerprint);
  }

  recordLoss(request: CallerRequest, { id, incarnation }: Pick<ServerRecord, 'id' | 'incarnation'>): void {
    const server = `${id}/${incarnation.toString()}`;
    const now = performance.now();
    const suspect = this.#suspect(fingerprintOf(request), now);
    suspect.servers.add(server);
    suspect.unshared.push({ server, at: now });
  }

  /** Records what another entry VM has found. */
  recordEvidence({ lost, answered, known }: CrashEvidence): void {
    const now = performance.now();
    for (const [fingerprint, server] of lost) {
      const suspect = this.#suspect(fingerprint, now);
      suspect.servers.add(server);
      suspect.isShared = true;
    }
    for (const fingerprint of answered) {
      this.#clear(fingerprint, now);
    }
    for (const suspect of known) {
      this.#recordKnown(suspect, now);
    }
  }

  /** Returns what other entry VMs should be told now, once; undefined if there is nothing. */
  takeEvidence(): CrashEvidence | undefined {
    if (this.#suspects.size === 0 && this.#unsharedAnswers.size === 0) {
      return undefined;
    }
    const now = performance.now();
    const lost = this.#takeLosses(now);
    const known = this.#takeRepetitions(now);
    const answered = [...this.#unsharedAnswers].slice(0, MAX_ENTRIES_PER_MESSAGE);
    answered.forEach((fingerprint) => this.#unsharedAnswers.delete(fingerprint));
    return lost.length + answered.length + known.length === 0 ? undefined : { lost, answered, known };
  }

  /** What a process that has just started should be told; undefined if there is nothing. */
  evidenceForNewcomer(): CrashEvidence | undefined {
    const now = performance.now();
    const known = [...this.#suspects]
      .filter(([, suspect]) => suspect.isShared && isCurrent(suspect))
      .sort(([, left], [, right]) => right.servers.size - left.servers.size)
      .slice(0, MAX_ENTRIES_PER_MESSAGE)
      .map(([fingerprint, suspect]) => knownSuspect(fingerprint, suspect, now));
    return known.length === 0 ? undefined : { lost: [], answered: [], known };
  }

  #takeLosses(now: number): CrashEvidence['lost'] {
    const dueAt = now - SHARING_DELAY_MILLISECONDS;
    const lost: [string, string][] = [];
    for (const [fingerprint, suspect] of this.#suspects) {
      const due = suspect.unshared.filter(({ at }) => at <= dueAt);
      if (due.length > 0 && lost.length < MAX_ENTRIES_PER_MESSAGE) {
        suspect.unshared = suspect.unshared.filter(({ at }) => at > dueAt);
        suspect.isShared = true;
        lost.push(...due.map(({ server }): [string, string] => [fingerprint, server]));
      }
    }
    return lost;
  }

  #takeRepetitions(now: number): readonly KnownSuspect[] {
    const known: KnownSuspect[] = [];
    for (const [fingerprint, suspect] of this.#suspects) {
      const isDue = suspect.isRepetitionDue && now - suspect.repeatedAt >= REPETITION_INTERVAL_MILLISECONDS;
      if (isDue && known.length < MAX_ENTRIES_PER_MESSAGE) {
        suspect.isRepetitionDue = false;
        suspect.repeatedAt = now;
        suspect.isShared = true;
        known.push(knownSuspect(fingerprint, suspect, now));
      }
    }
    return known;
  }

  #recordKnown([fingerprint, servers, age]: KnownSuspect, now: number): void {
    const since = now - age;
    if (since <= (this.#answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY)) {
      // The sender has missed that the request got a response.
      this.#unsharedAnswers.add(fingerprint);
      return;
    }
    if (age >= SUSPECT_RETENTION_MILLISECONDS) {
      return;
    }
    const suspect = this.#suspect(fingerprint, since);
    servers.forEach((server) => suspect.servers.add(server));
    suspect.since = Math.min(suspect.since, since);
    suspect.isShared = true;
    suspect.isRepetitionDue = false;
    suspect.repeatedAt = now;
  }

  /** The suspect with this fingerprint, which is added if it is not known. */
  #suspect(fingerprint: string, since: number): Suspect {
    this.#removeExpired();
    let suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      this.#makeRoom();
      suspect = {
        servers: new Set(),
        since,
        unshared: [],
        isShared: false,
        isRepetitionDue: false,
        repeatedAt: Number.NEGATIVE_INFINITY,
      };
      this.#suspects.set(fingerprint, suspect);
    }
    return suspect;
  }

  #clear(fingerprint: string, now: number): void {
    this.#suspects.delete(fingerprint);
    this.#answeredAt.delete(fingerprint);
    this.#answeredAt.set(fingerprint, now);
    const [oldest] = this.#answeredAt.keys();
    if (oldest !== undefined && this.#answeredAt.size > MAX_SUSPECTS) {
      this.#answeredAt.delete(oldest);
    }
  }

  /**
   * Load pattern: servers that fail together lose hundreds of requests, and each becomes a suspect. Most were only in
   * flight and never lose another server, so the oldest of those is forgotten first.
   */
  #makeRoom(): void {
    if (this.#suspects.size < MAX_SUSPECTS) {
      return;
    }
    const fingerprints = [...this.#suspects.keys()];
    const harmless = fingerprints.find((fingerprint) => {
      const suspect = this.#suspects.get(fingerprint);
      return suspect !== undefined && !isRefusable(suspect);
    });
    this.#suspects.delete(harmless ?? fingerprints[0] ?? '');
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

function isRefusable({ servers }: Suspect): boolean {
  return servers.size >= SERVER_LOSS_LIMIT;
}

function knownSuspect(fingerprint: string, { servers, since }: Suspect, now: number): KnownSuspect {
  return [fingerprint, [...servers].slice(0, MAX_SERVERS_PER_SUSPECT), Math.round(now - since)];
}

/** The service is left out: a part of a split, or a changed configuration, sends the same request to another one. */
function fingerprintOf({ host, method, target, body }: CallerRequest): string {
  return createHash('sha256')
    .update(`${host} ${method} ${target}\n`)
    .update(body)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}
