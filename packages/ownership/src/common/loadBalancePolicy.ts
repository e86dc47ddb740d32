import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  NO_OWNER,
  type ServerRecord,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';
import type { AssignmentDraft } from './assignmentDraft.js';
import type { BalancePolicy, Placement } from './balancePolicy.js';
import type { GroupLoad } from './observations.js';

/** Limits of the balancer. Ratios are relative to the mean load of a server of its speed. */
export interface LoadBalanceOptions {
  /** Excess over the mean above which moves start. */
  readonly startRatio: number;
  /** Excess over the mean below which moves stop. */
  readonly stopRatio: number;
  /** Units that may be moved for balance in one interval. */
  readonly movesPerInterval: number;
  /** Length of an interval in milliseconds. */
  readonly intervalMilliseconds: number;
  /** Work of a single key, as a share of the mean work of a server, from which it is pinned. */
  readonly pinShare: number;
  /** Share below which a pinned key returns to its slice. */
  readonly unpinShare: number;
  /** Pins of one group at most. */
  readonly maximumPins: number;
  /** Work of a whole group, in busy milliseconds per second, below which nothing is moved for balance. */
  readonly idleWork: number;
}

export const defaultLoadBalanceOptions: LoadBalanceOptions = {
  startRatio: 1.15,
  stopRatio: 1.05,
  movesPerInterval: 8,
  intervalMilliseconds: 2_000,
  pinShare: 0.05,
  unpinShare: 0.02,
  maximumPins: 300,
  idleWork: 20,
};

/** Work that a unit counts for before any load was reported, in busy milliseconds per second. */
const MINIMUM_UNIT_WORK = 0.01;

interface ServerWork {
  readonly server: ServerRecord;
  readonly speed: number;
  work: number;
}

/**
 * Balances by observed work. A server's work is judged relative to its speed. Moves for balance are bounded
 * per interval, and hysteresis keeps small differences from moving anything.
 */
export class LoadBalancePolicy implements BalancePolicy {
  readonly #options: LoadBalanceOptions;
  #isBalancing = false;
  #nextMoveAt = 0;

  constructor(options: LoadBalanceOptions = defaultLoadBalanceOptions) {
    this.#options = options;
  }

  pins(draft: AssignmentDraft, load: GroupLoad): readonly string[] {
    const threshold = this.#options.pinShare * meanWork(draft, load);
    const pinned = new Set(draft.pins.map(({ keyHash }) => keyHash));
    const hot = [...load.keys].filter(([keyHash, work]) => work > threshold && !pinned.has(keyHash));
    const room = Math.max(0, this.#options.maximumPins - pinned.size);
    return load.total < this.#options.idleWork ? [] : hot.slice(0, room).map(([keyHash]) => keyHash);
  }

  unpins(draft: AssignmentDraft, load: GroupLoad): readonly string[] {
    return draft.pins.map(({ keyHash }) => keyHash).filter((keyHash) => this.#isCold(draft, load, keyHash));
  }

  place(draft: AssignmentDraft, units: readonly Unit[], load: GroupLoad): readonly Placement[] {
    if (units.length === 0) {
      return [];
    }
    const servers = this.#serverWork(draft, load);
    return placeAll(units, servers, load);
  }

  move(draft: AssignmentDraft, load: GroupLoad): readonly Placement[] {
    const leaving = draft.servers.filter(({ phase }) => phase === 'leaving');
    const stranded = leaving
      .flatMap(({ number }) => draft.unitsOf(number))
      .filter((unit) => !draft.isReleasing(unit));
    if (stranded.length > 0) {
      return placeAll(stranded, this.#serverWork(draft, load), load);
    }
    if (draft.releases.length > 0 || performance.now() < this.#nextMoveAt) {
      return [];
    }
    this.#nextMoveAt = performance.now() + this.#options.intervalMilliseconds;
    const balancing = this.#balance(draft, this.#serverWork(draft, load), load);
    return [...balancing, ...this.#returnColdPins(draft, load, balancing)];
  }

  /** Moves pinned keys that cooled down back to the owners of their slices, where the pins can end. */
  #returnColdPins(
    draft: AssignmentDraft,
    load: GroupLoad,
    balancing: readonly Placement[],
  ): readonly Placement[] {
    const moving = new Set(balancing.map(({ unit }) => unitName(unit)));
    const cold = draft.pins.filter(({ keyHash }) => this.#isCold(draft, load, keyHash));
    return cold
      .map(({ keyHash, owner }) => ({
        keyHash,
        owner,
        home: draft.owners[sliceOf(keyHash, draft.owners.length)],
      }))
      .flatMap(({ keyHash, owner, home }): Placement[] =>
        home === undefined || home === owner || home === NO_OWNER
          ? []
          : [{ unit: { unit: { $case: 'pin', value: keyHash } }, owner: home }],
      )
      .filter(({ unit }) => !moving.has(unitName(unit)))
      .slice(0, this.#options.movesPerInterval);
  }

  #isCold(draft: AssignmentDraft, load: GroupLoad, keyHash: string): boolean {
    const work = load.keys.get(keyHash) ?? 0;
    return load.total > 0 && work < this.#options.unpinShare * meanWork(draft, load);
  }

  #balance(draft: AssignmentDraft, servers: readonly ServerWork[], load: GroupLoad): readonly Placement[] {
    const moves: Placement[] = [];
    if (load.slices.size > 0 && load.total < this.#options.idleWork) {
      return moves;
    }
    const remaining = new Map(
      servers.map(({ server }) => [server.number, [...draft.unitsOf(server.number)]]),
    );
    while (moves.length < this.#options.movesPerInterval) {
      const move = this.#nextMove(servers, remaining, load);
      if (move === undefined) {
        break;
      }
      moves.push(move);
    }
    return moves;
  }

  #nextMove(
    servers: readonly ServerWork[],
    remaining: ReadonlyMap<number, Unit[]>,
    load: GroupLoad,
  ): Placement | undefined {
    const busiest = extreme(servers, (left, right) => relativeWork(left) > relativeWork(right));
    const idlest = extreme(servers, (left, right) => relativeWork(left) < relativeWork(right));
    if (busiest === undefined || idlest === undefined || busiest === idlest) {
      return undefined;
    }
    const ratio = relativeWork(busiest) / meanRelativeWork(servers);
    this.#isBalancing = ratio > (this.#isBalancing ? this.#options.stopRatio : this.#options.startRatio);
    if (!this.#isBalancing) {
      return undefined;
    }
    const units = remaining.get(busiest.server.number) ?? [];
    const unit = bestUnit(units, busiest, idlest, load);
    if (unit === undefined) {
      return undefined;
    }
    units.splice(units.indexOf(unit), 1);
    busiest.work -= workOf(unit, load);
    idlest.work += workOf(unit, load);
    return { unit, owner: idlest.server.number };
  }

  #serverWork(draft: AssignmentDraft, load: GroupLoad): ServerWork[] {
    return draft.servers
      .filter(({ phase }) => phase === 'serving')
      .map((server) => ({
        server,
        speed: load.speeds.get(server.address) ?? 1,
        work: draft.unitsOf(server.number).reduce((sum, unit) => sum + workOf(unit, load), 0),
      }));
  }
}

function placeAll(
  units: readonly Unit[],
  servers: readonly ServerWork[],
  load: GroupLoad,
): readonly Placement[] {
  const byWork = [...units].sort((left, right) => workOf(right, load) - workOf(left, load));
  return byWork.flatMap((unit) => {
    const target = extreme(servers, (left, right) => relativeWork(left) < relativeWork(right));
    if (target === undefined) {
      return [];
    }
    target.work += workOf(unit, load);
    return [{ unit, owner: target.server.number }];
  });
}

/** The unit whose move narrows the gap between two servers most without reversing it. */
function bestUnit(
  units: readonly Unit[],
  from: ServerWork,
  towards: ServerWork,
  load: GroupLoad,
): Unit | undefined {
  const gap = relativeWork(from) - relativeWork(towards);
  const ideal = gap / (1 / from.speed + 1 / towards.speed);
  const fitting = units.filter((unit) => workOf(unit, load) <= ideal);
  return extreme(fitting, (left, right) => workOf(left, load) > workOf(right, load));
}

function workOf({ unit }: Unit, load: GroupLoad): number {
  switch (unit.$case) {
    case 'slice':
      return (load.slices.get(unit.value) ?? 0) + MINIMUM_UNIT_WORK;
    case 'pin':
      return (load.keys.get(unit.value) ?? 0) + MINIMUM_UNIT_WORK;
  }
}

function relativeWork({ work, speed }: ServerWork): number {
  return work / speed;
}

function meanRelativeWork(servers: readonly ServerWork[]): number {
  const work = servers.reduce((sum, server) => sum + server.work, 0);
  const speed = servers.reduce((sum, server) => sum + server.speed, 0);
  return work / speed;
}

function extreme<T>(items: readonly T[], isBetter: (candidate: T, best: T) => boolean): T | undefined {
  let best: T | undefined;
  for (const item of items) {
    if (best === undefined || isBetter(item, best)) {
      best = item;
    }
  }
  return best;
}

function meanWork(draft: AssignmentDraft, load: GroupLoad): number {
  const serving = draft.servers.filter(({ phase }) => phase === 'serving').length;
  return load.total / Math.max(1, serving);
}
