import { compareText } from '@hickoryhoist/base/common/compareText.js';
import { broadcastCapacity, type EntryVmRecord } from './entryVmRegistry.js';

/** Ranks by identifier for each list of entry VMs; a list never changes, it is replaced by another one. */
const ranksByList = new WeakMap<readonly EntryVmRecord[], ReadonlyMap<string, number>>();

/**
 * Position of an entry VM in the order in which they replace the assigner; -1 if it is not in the list. The best-equipped
 * ones come first: the assigner has the most work, and broadcasts to all others. Load pattern: asked many times a second
 * on each of hundreds of entry VMs, whose list rarely changes.
 */
export function successionRank(entryVms: readonly EntryVmRecord[], id: string): number {
  let ranks = ranksByList.get(entryVms);
  if (ranks === undefined) {
    const sorted = [...entryVms].sort(
      (left, right) => broadcastCapacity(right) - broadcastCapacity(left) || compareText(left.id, right.id),
    );
    ranks = new Map(sorted.map((entryVm, rank) => [entryVm.id, rank]));
    ranksByList.set(entryVms, ranks);
  }
  return ranks.get(id) ?? -1;
}
