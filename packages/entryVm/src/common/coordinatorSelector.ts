import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { rankByRendezvous } from './rendezvous.js';

/** An unresponsive coordinator is skipped for this long. */
const SUSPECTED_MILLISECONDS = 1_500;

/** An entry VM that can coordinate servers. */
export interface CoordinatorCandidate {
  readonly id: string;
  readonly ipAddress: string;
  /** The candidate coordinates a proportional share of the single servers. */
  readonly processorCores: number;
  /** Whether it sends and answers `slot-check`. */
  readonly checksSlots?: boolean | undefined;
}

/** Slots that one entry VM coordinates. */
export interface CoordinatedResource {
  readonly service: string;
  /** The only server that has the slots, or undefined for those of all servers of the service. */
  readonly serverId: string | undefined;
}

export type SuspicionReason = 'silent' | 'leaving';

/**
 * Selects coordinators by rendezvous hashing: all entry VMs select the same one without communication. Load pattern:
 * hundreds of entry VMs request the slots of one service from its coordinator, which takes more than a small entry VM
 * has. The slots of a whole service are therefore coordinated by one with the most cores, and those of single servers
 * by all in proportion to their cores.
 */
export class CoordinatorSelector {
  readonly #self: CoordinatorCandidate;
  readonly #entryVms: () => readonly CoordinatorCandidate[];
  readonly #logger: Logger;
  /** When the suspicion of an entry VM ends, by address. */
  readonly #suspectedUntil = new Map<string, number>();
  /** Entry VMs in order of preference by name of the resource, cached until the set of entry VMs changes. */
  readonly #rankings = new Map<string, readonly CoordinatorCandidate[]>();
  #rankedEntryVms: readonly CoordinatorCandidate[] = [];
  #isLeaving = false;

  constructor(self: CoordinatorCandidate, entryVms: () => readonly CoordinatorCandidate[], logger: Logger) {
    this.#self = self;
    this.#entryVms = entryVms;
    this.#logger = logger;
  }

  /** Excludes this process from the candidates. */
  leave(): void {
    this.#isLeaving = true;
    this.#rankings.clear();
  }

  /** Returns the most preferred entry VM that is not suspected, or this one if all are. */
  select(resource: CoordinatedResource): CoordinatorCandidate {
    const now = performance.now();
    const ranked = this.#rankingFor(resource);
    return ranked.find(({ ipAddress }) => (this.#suspectedUntil.get(ipAddress) ?? 0) <= now) ?? this.#self;
  }

  /** Whether this entry VM coordinates the resource when no entry VM is suspected. */
  isPreferred(resource: CoordinatedResource): boolean {
    return this.#rankingFor(resource)[0]?.id === this.#self.id;
  }

  /** Skips an entry VM until its suspicion ends. */
  suspect({ id, ipAddress }: CoordinatorCandidate, reason: SuspicionReason): void {
    const now = performance.now();
    if ((this.#suspectedUntil.get(ipAddress) ?? 0) < now) {
      this.#logger.log('info', 'coordinator-suspected', { coordinator: id, reason });
    }
    this.#suspectedUntil.set(ipAddress, now + SUSPECTED_MILLISECONDS);
  }

  /** Ends a suspicion: an entry VM that was only slow is used again, so that servers keep one coordinator. */
  recordResponse(ipAddress: string): void {
    this.#suspectedUntil.delete(ipAddress);
  }

  #rankingFor(resource: CoordinatedResource): readonly CoordinatorCandidate[] {
    const current = this.#entryVms();
    if (current !== this.#rankedEntryVms) {
      this.#rankedEntryVms = current;
      this.#rankings.clear();
    }
    const name = `${resource.service} ${resource.serverId ?? ''}`;
    const known = this.#rankings.get(name);
    if (known !== undefined) {
      return known;
    }
    const byId = new Map(current.map((entryVm) => [entryVm.id, entryVm]));
    if (!this.#isLeaving) {
      byId.set(this.#self.id, this.#self);
    }
    const isWholeService = resource.serverId === undefined;
    const candidates = [...byId.values()].map(({ id, processorCores }) => ({
      id,
      weight: isWholeService ? 1 : processorCores,
    }));
    const ranked = rankByRendezvous(name, candidates).flatMap((id) => byId.get(id) ?? []);
    if (isWholeService) {
      ranked.sort((left, right) => right.processorCores - left.processorCores);
    }
    this.#rankings.set(name, ranked);
    return ranked;
  }
}
