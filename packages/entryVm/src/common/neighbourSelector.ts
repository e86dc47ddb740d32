import type { FirstCopySource } from '@hickoryhoist/store/common/neighbourTables.js';
import { DEFAULT_MAX_LAG_MILLISECONDS } from '@hickoryhoist/store/common/tableWatcher.js';
import { broadcastCapacity, type EntryVmRecord } from './entryVmRegistry.js';
import { rankByRendezvous } from './rendezvous.js';

/** Entry VMs of each availability zone that fetch large changes for the others of their zone. */
const LEADERS_PER_ZONE = 2;
/** Half of the interval between two heartbeats of a reader. */
const LEADER_MAX_LAG_MILLISECONDS = 100;
/**
 * Preferred readers of the store, from which the leaders read. While there is an assigner, which reads as well, only the
 * first of them reads.
 */
const READER_COUNT = 2;

/**
 * The first entry VMs in an order of preference for a role that sends to many others: the fastest links and processors
 * first. Load pattern: one message to each of hundreds of entry VMs fills a slow link for a second. Weighted hashing
 * would give the role to a small entry VM now and then, since there are many of them.
 */
function rankByCapacity(
  resource: string,
  entryVms: readonly EntryVmRecord[],
  count: number,
): readonly EntryVmRecord[] {
  const byId = new Map(entryVms.map((entryVm) => [entryVm.id, entryVm]));
  const candidates = entryVms.map(({ id }) => ({ id, weight: 1 }));
  return rankByRendezvous(resource, candidates)
    .flatMap((id) => byId.get(id) ?? [])
    .sort((left, right) => broadcastCapacity(right) - broadcastCapacity(left))
    .slice(0, count);
}

/** Orders the entry VMs by preference for reading the change feeds of the store for all. */
export function rankReaders(entryVms: readonly EntryVmRecord[]): readonly EntryVmRecord[] {
  return rankByCapacity('store', entryVms, entryVms.length);
}

/** Selects the entry VMs that are preferred for reading the change feeds of the store for all. */
export function selectReaders(entryVms: readonly EntryVmRecord[]): readonly EntryVmRecord[] {
  return rankByCapacity('store', entryVms, READER_COUNT);
}

/**
 * Chooses the entry VM from which one that missed changes reads them. The zone's leaders ask the readers, and the
 * others ask the leaders, so that a change crosses to each availability zone a few times at most, and the store is
 * read only when these do not help. Load pattern: hundreds of entry VMs miss the same change at the same time.
 */
export class NeighbourSelector {
  readonly #selfId: string;
  readonly #entryVms: () => readonly EntryVmRecord[];
  #selectedFrom: readonly EntryVmRecord[] | undefined;
  #sources: readonly EntryVmRecord[] = [];
  #isLeader = false;
  #isReader = false;

  constructor(selfId: string, entryVms: () => readonly EntryVmRecord[]) {
    this.#selfId = selfId;
    this.#entryVms = entryVms;
  }

  /** Time for which a copy of a table may lag, in milliseconds; shorter for those that others read. */
  get maxLagMilliseconds(): number {
    this.#update();
    return this.#isLeader ? LEADER_MAX_LAG_MILLISECONDS : DEFAULT_MAX_LAG_MILLISECONDS;
  }

  /**
   * Where this process reads its first copy of a table.
   * @param isSettled whether the entry VMs that started together with this one are known.
   */
  firstCopySource(isSettled: boolean): FirstCopySource {
    if (!isSettled) {
      return 'undecided';
    }
    this.#update();
    return this.#isReader || this.#sources.length === 0 ? 'store' : 'neighbours';
  }

  /**
   * @param attempt number of attempts before this one.
   * @returns undefined if the store is to be read.
   */
  select(attempt: number): EntryVmRecord | undefined {
    this.#update();
    return this.#sources[attempt % (this.#sources.length + 1)];
  }

  #update(): void {
    const entryVms = this.#entryVms();
    if (entryVms === this.#selectedFrom) {
      return;
    }
    this.#selectedFrom = entryVms;
    const readers = selectReaders(entryVms);
    this.#isReader = readers.some(({ id }) => id === this.#selfId);
    const zone = entryVms.find(({ id }) => id === this.#selfId)?.availabilityZone;
    const sameZone = entryVms.filter(({ availabilityZone }) => availabilityZone === zone);
    const leaders = rankByCapacity(`tables/${zone ?? ''}`, sameZone, LEADERS_PER_ZONE);
    this.#isLeader = leaders.some(({ id }) => id === this.#selfId);
    const sources = this.#isLeader ? readers : [...this.#inOwnOrder(leaders), ...readers.slice(0, 1)];
    this.#sources = sources.filter(
      ({ id }, index) => id !== this.#selfId && sources.findIndex((other) => other.id === id) === index,
    );
  }

  /** Orders the leaders so that each is preferred by a part of the zone. */
  #inOwnOrder(leaders: readonly EntryVmRecord[]): readonly EntryVmRecord[] {
    const order = rankByRendezvous(
      this.#selfId,
      leaders.map(({ id }) => ({ id, weight: 1 })),
    );
    return [...leaders].sort((left, right) => order.indexOf(left.id) - order.indexOf(right.id));
  }
}
