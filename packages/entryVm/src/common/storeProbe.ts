import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { CONFIRMATION_TABLE } from '@hickoryhoist/keyownership/common/assignerRow.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';

/**
 * Entry VMs probe the store after this long without a heartbeat of the assigner, or when the assigner has not
 * reached the store for this long.
 */
export const PROBE_AFTER_MILLISECONDS = 800;
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/**
 * Delay between the first probes of entry VMs of consecutive ranks. Those that would replace the assigner later need
 * not know yet whether they reach the store.
 */
const PROBE_RANK_DELAY_MILLISECONDS = 120;
/** Maximum delay of a first probe by rank. An entry VM that lost the assigner and the store must notice the latter. */
const MAX_PROBE_RANK_DELAY_MILLISECONDS = 2_400;
/** Interval between the probes of an entry VM that cannot reach the store and does not replace the assigner soon. */
const FOLLOWER_PROBE_INTERVAL_MILLISECONDS = 2_000;
/** Entry VMs of lower ranks than this probe an unreachable store less often. */
const FREQUENT_PROBE_RANKS = 8;

/** What the decision whether to probe depends on. */
export interface ProbeSituation {
  /** Position of this process in the order in which entry VMs replace the assigner. */
  readonly rank: number;
  readonly isAssigner: boolean;
  readonly isStoreReachable: boolean;
  readonly millisecondsSinceHeartbeat: number;
  /** Time for which the assigner has not reached the store, by its last heartbeat; in milliseconds. */
  readonly assignerStoreSilence: number;
}

/**
 * Reads from the store so that the result updates its health: this process may reach the store although the
 * assigner does not, and can then replace it. Load pattern: hundreds of entry VMs lose the assigner or the store at
 * the same time; they probe in the order in which they would replace the assigner.
 */
export class StoreProbe {
  readonly #store: RowStore;
  readonly #logger: Logger;
  #nextProbeAt = 0;

  constructor(store: RowStore, logger: Logger) {
    this.#store = store;
    this.#logger = logger;
  }

  probeIfDue(now: number, situation: ProbeSituation): void {
    const { rank, isAssigner, isStoreReachable, millisecondsSinceHeartbeat, assignerStoreSilence } =
      situation;
    if (now < this.#nextProbeAt) {
      return;
    }
    const delayMilliseconds =
      PROBE_AFTER_MILLISECONDS +
      Math.min(rank * PROBE_RANK_DELAY_MILLISECONDS, MAX_PROBE_RANK_DELAY_MILLISECONDS);
    const mayReplaceAssigner =
      !isAssigner &&
      (millisecondsSinceHeartbeat > delayMilliseconds || assignerStoreSilence > delayMilliseconds);
    if (!mayReplaceAssigner && isStoreReachable) {
      return;
    }
    this.#nextProbeAt =
      now +
      (rank < FREQUENT_PROBE_RANKS ? PROBE_INTERVAL_MILLISECONDS : FOLLOWER_PROBE_INTERVAL_MILLISECONDS);
    this.#store.readTable(CONFIRMATION_TABLE).catch((error: unknown) => {
      this.#logger.log('debug', 'store-probe-failed', { reason: describeError(error) });
    });
  }
}
