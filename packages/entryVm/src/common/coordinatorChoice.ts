import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { rankByRendezvous } from './rendezvous.js';

/** Time for which a silent coordinator is passed over, in milliseconds. */
const SUSPICION_MILLISECONDS = 1_500;

/** An entry VM that may coordinate servers. */
export interface CoordinatorVm {
  readonly id: string;
  readonly ipAddress: string;
  /** Its processor in cores: its share of the servers that are coordinated. */
  readonly processorCores: number;
}

/** Why a coordinator is passed over. */
export type PassOverReason = 'silent' | 'leaving';

/** Tells which entry VM coordinates what: all entry VMs agree on it without a word, by rendezvous hashing. */
export class CoordinatorChoice {
  readonly #self: CoordinatorVm;
  readonly #entryVms: () => readonly CoordinatorVm[];
  readonly #logger: Logger;
  /** Times until which entry VMs are passed over, by address. */
  readonly #suspectedUntil = new Map<string, number>();
  /** Entry VMs in order of preference by subject, kept until the set of entry VMs changes. */
  readonly #ranked = new Map<string, readonly CoordinatorVm[]>();
  #rankedOf: readonly CoordinatorVm[] = [];
  #isLeaving = false;

  constructor(self: CoordinatorVm, entryVms: () => readonly CoordinatorVm[], logger: Logger) {
    this.#self = self;
    this.#entryVms = entryVms;
    this.#logger = logger;
  }

  /** Takes this process out of the choice. */
  leave(): void {
    this.#isLeaving = true;
    this.#ranked.clear();
  }

  /** The first entry VM for a subject that is not suspected, or else this one. */
  choose(subject: string): CoordinatorVm {
    const now = performance.now();
    const ranked = this.#rankedFor(subject);
    return ranked.find(({ ipAddress }) => (this.#suspectedUntil.get(ipAddress) ?? 0) <= now) ?? this.#self;
  }

  /** Whether this entry VM is the one for a subject when nobody is suspected. */
  isFirst(subject: string): boolean {
    return this.#rankedFor(subject)[0]?.id === this.#self.id;
  }

  /** Has an entry VM passed over for some time. */
  passOver({ id, ipAddress }: CoordinatorVm, reason: PassOverReason): void {
    const now = performance.now();
    if ((this.#suspectedUntil.get(ipAddress) ?? 0) < now) {
      this.#logger.log('info', 'coordinator-passed-over', { coordinator: id, reason });
    }
    this.#suspectedUntil.set(ipAddress, now + SUSPICION_MILLISECONDS);
  }

  /** Takes notice of an answer: an entry VM that is only late is asked again, so that servers keep one coordinator. */
  recordAnswer(ipAddress: string): void {
    this.#suspectedUntil.delete(ipAddress);
  }

  #rankedFor(subject: string): readonly CoordinatorVm[] {
    const current = this.#entryVms();
    if (current !== this.#rankedOf) {
      this.#rankedOf = current;
      this.#ranked.clear();
    }
    const known = this.#ranked.get(subject);
    if (known !== undefined) {
      return known;
    }
    const byId = new Map(current.map((entryVm) => [entryVm.id, entryVm]));
    if (!this.#isLeaving) {
      byId.set(this.#self.id, this.#self);
    }
    const candidates = [...byId.values()].map(({ id, processorCores }) => ({ id, weight: processorCores }));
    const ranked = rankByRendezvous(subject, candidates).flatMap((id) => byId.get(id) ?? []);
    this.#ranked.set(subject, ranked);
    return ranked;
  }
}
