import { planEvacuation } from './evacuationPlanner.js';
import type { OwnedRange } from './keyAssignment.js';
import type { CandidateServer, KeyTraffic, PlannedMove } from './keyPlanner.js';

const ROUND_MILLISECONDS = 100;
/** Rounds in which all moves start: the zone is closed shortly after them, whoever still owns keys there. */
const ROUNDS = 10;
/** Moves that may start in one round: the ranges changed by one write should fit into a datagram. */
const MAX_MOVES_PER_ROUND = 40;

/** Spreads the moves of keys out of evacuated availability zones over time, so that few keys are in transfer at once. */
export class EvacuationRounds {
  #startedAt = 0;
  #nextRoundAt = 0;
  #leavingIds: ReadonlySet<string> = new Set();

  /** @returns the moves that start now. */
  nextMoves(
    now: number,
    ranges: readonly OwnedRange[],
    evacuatedIds: ReadonlySet<string>,
    servers: readonly CandidateServer[],
    traffic: () => KeyTraffic,
  ): readonly PlannedMove[] {
    const leavingIds = new Set(
      ranges.map(({ ownerId }) => ownerId).filter((ownerId) => evacuatedIds.has(ownerId)),
    );
    if ([...leavingIds].some((id) => !this.#leavingIds.has(id))) {
      this.#startedAt = now;
    }
    this.#leavingIds = leavingIds;
    if (leavingIds.size === 0 || now < this.#nextRoundAt) {
      return [];
    }
    this.#nextRoundAt = now + ROUND_MILLISECONDS;
    const moves = planEvacuation(ranges, leavingIds, servers, traffic());
    const roundsLeft = Math.max(1, ROUNDS - Math.floor((now - this.#startedAt) / ROUND_MILLISECONDS));
    return moves.slice(0, Math.min(MAX_MOVES_PER_ROUND, Math.ceil(moves.length / roundsLeft)));
  }
}
