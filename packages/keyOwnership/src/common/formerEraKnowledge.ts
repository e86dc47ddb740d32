import { keyOwnershipTiming } from './keyOwnershipTiming.js';

/** Time after an election at which processes that have not answered count as unreachable: two of their reports. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;

/** A process that has followed no assigner for longer than a term lasts without the store may have missed the next one. */
const MAX_AGE_MILLISECONDS = keyOwnershipTiming.assignerLeaseMilliseconds;

/** An era of the store in which this process followed an assigner, or was the assigner. */
interface FollowedEra {
  readonly era: number;
  /** When it last heard the assigner, on the monotonic clock. */
  readonly until: number;
}

/** A term of this process, and what other processes have told it since. */
interface Term {
  readonly term: number;
  readonly era: number;
  readonly startedAt: number;
  /** By ID, whether the process had followed an assigner before the store came back. */
  readonly answers: Map<string, boolean>;
}

/**
 * Tells whether an assigner knows the assignments that the store may have lost. Load pattern: the store comes back from an
 * older copy while entry VMs end. Servers still hold keys by assignments that are in the memory of other processes only,
 * or in none.
 */
export class FormerEraKnowledge {
  #newest: FollowedEra | undefined;
  /** The era before the newest one in which an assigner was followed. */
  #former: FollowedEra | undefined;
  #term: Term | undefined;

  /**
   * Records that an assigner is heard, or that this process is the assigner.
   * @param era the newest era that the assigner knows.
   */
  recordAssigner(era: number, now: number): void {
    const newest = this.#newest;
    if (newest !== undefined && era < newest.era) {
      return;
    }
    if (newest !== undefined && era > newest.era) {
      this.#former = newest;
    }
    this.#newest = { era, until: now };
  }

  /** Whether this process followed an assigner until shortly before the store came back in an era. */
  hasFollowedBefore(era: number, now: number): boolean {
    const followed = this.#newest !== undefined && this.#newest.era < era ? this.#newest : this.#former;
    return followed !== undefined && followed.era < era && now - followed.until < MAX_AGE_MILLISECONDS;
  }

  /** Starts a term of this process as the assigner. */
  startTerm(term: number, era: number, now: number): void {
    this.#term = { term, era, startedAt: now, answers: new Map() };
  }

  /**
   * Records what another process has told the assigner.
   * @param term the term in which it was asked.
   * @param hasFollowed whether it followed an assigner until the store came back.
   */
  recordAnswer(id: string, term: number, hasFollowed: boolean): void {
    if (term === this.#term?.term) {
      this.#term.answers.set(id, hasFollowed || this.#term.answers.get(id) === true);
    }
  }

  /**
   * Whether what this process and the others know is all that was announced before the store came back.
   * @param otherIds all other processes.
   */
  isComplete(otherIds: readonly string[], now: number): boolean {
    const term = this.#term;
    if (term === undefined) {
      return false;
    }
    const hasFollowed =
      this.hasFollowedBefore(term.era, now) || [...term.answers.values()].some((answer) => answer);
    const haveAllAnswered = otherIds.every((id) => term.answers.has(id));
    return hasFollowed && (haveAllAnswered || now - term.startedAt > ANSWER_TIMEOUT_MILLISECONDS);
  }
}
