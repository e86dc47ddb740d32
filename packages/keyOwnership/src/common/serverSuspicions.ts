import type { CandidateServer } from './keyPlanner.js';

/** Time for which an unresponsive server receives no keys, in milliseconds. Doubles with each further suspicion. */
const INITIAL_SUSPICION_MILLISECONDS = 8_000;
const MAX_SUSPICION_MILLISECONDS = 32_000;

interface Suspicion {
  readonly until: number;
  readonly duration: number;
}

type ServerIncarnation = Pick<CandidateServer, 'id' | 'incarnation'>;

/**
 * Servers that receive no keys for a while because they were unresponsive. Load pattern: a server that is up and down by
 * turns would be given keys each time and lose them again.
 */
export class ServerSuspicions {
  readonly #suspicions = new Map<string, Suspicion>();

  record(server: ServerIncarnation, now: number): void {
    const key = keyOf(server);
    const previous = this.#suspicions.get(key);
    if (previous !== undefined && now < previous.until) {
      return;
    }
    const duration =
      previous === undefined
        ? INITIAL_SUSPICION_MILLISECONDS
        : Math.min(2 * previous.duration, MAX_SUSPICION_MILLISECONDS);
    this.#suspicions.set(key, { until: now + duration, duration });
  }

  /** Forgets a server that is responsive again. */
  clear(server: ServerIncarnation): void {
    this.#suspicions.delete(keyOf(server));
  }

  isSuspected(server: ServerIncarnation, now: number): boolean {
    return now < (this.#suspicions.get(keyOf(server))?.until ?? 0);
  }
}

function keyOf({ id, incarnation }: ServerIncarnation): string {
  return `${id}/${incarnation.toString()}`;
}
