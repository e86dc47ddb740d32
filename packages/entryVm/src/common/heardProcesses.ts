interface HeardProcess {
  incarnation: string;
  /** When this incarnation was heard first. */
  firstAt: number;
  lastAt: number;
  /** Incarnations that were heard before this one. */
  readonly former: Set<string>;
}

/** Incarnations that are remembered for each entry VM; a datagram does not stay on its way for longer. */
const MAX_FORMER_INCARNATIONS = 8;

/**
 * The processes of other entry VMs that have sent messages. Load pattern: datagrams of a process arrive after those of
 * the one that replaced it. Incarnations have no order, so the one that was heard last for the first time counts.
 */
export class HeardProcesses {
  readonly #byId = new Map<string, HeardProcess>();

  /** Records a message. @returns whether it is the first one of its process. */
  record(id: string, incarnation: string): boolean {
    const now = performance.now();
    const known = this.#byId.get(id);
    if (known?.incarnation === incarnation) {
      known.lastAt = now;
      return false;
    }
    if (known?.former.has(incarnation) === true) {
      return false;
    }
    const former = new Set([...(known?.former ?? []), ...(known === undefined ? [] : [known.incarnation])]);
    const [oldest] = former;
    if (oldest !== undefined && former.size > MAX_FORMER_INCARNATIONS) {
      former.delete(oldest);
    }
    this.#byId.set(id, { incarnation, firstAt: now, lastAt: now, former });
    return true;
  }

  /** Whether another process of the entry VM was heard for the first time after a point in time. */
  hasSuccessor(id: string, incarnation: string, after: number): boolean {
    const heard = this.#byId.get(id);
    return heard !== undefined && heard.incarnation !== incarnation && heard.firstAt > after;
  }

  /** Time of the last message from a process of the entry VM, by default from any, on the monotonic clock. */
  lastHeardAt(id: string, incarnation?: string): number {
    const heard = this.#byId.get(id);
    const isOther = incarnation !== undefined && heard?.incarnation !== incarnation;
    return heard === undefined || isOther ? Number.NEGATIVE_INFINITY : heard.lastAt;
  }
}
