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

/** Options of the balancer. Thresholds are relative to the mean work of a server, adjusted by its speed. */
export interface LoadBalanceOptions {
  /** Ratio of a server's work to the mean above which units are moved away from it. */
  readonly imbalanceThreshold: number;
  /** Minimum improvement by a move, as a share of the mean. Smaller ones are not worth the cost of a move. */
  readonly minimumGain: number;
  /** Maximum number of units moved for balance in one interval. */
  readonly movesPerInterval: number;
  /** Length of an interval in milliseconds. */
  readonly intervalMilliseconds: number;
  /** Work of a single key, as a share of the mean work of a server, above which the key is pinned. */
  readonly pinShare: number;
  /** The same share, below which a pinned key returns to its slice. */
  readonly unpinShare: number;
  /** Maximum number of pins of one group. */
  readonly maximumPins: number;
  /** Work of a whole group, in busy milliseconds per second, below which no unit is moved for balance. */
  readonly minimumGroupWork: number;
}

export const defaultLoadBalanceOptions: LoadBalanceOptions = {
  imbalanceThreshold: 1.15,
  minimumGain: 0.04,
  movesPerInterval: 8,
  intervalMilliseconds: 2_000,
  pinShare: 0.05,
  unpinShare: 0.02,
  maximumPins: 300,
  minimumGroupWork: 20,
};

/** Number of busiest units of a server, and of least busy servers, among which the best move is selected. */
const MAXIMUM_UNITS_CONSIDERED = 48;
const MAXIMUM_TARGETS_CONSIDERED = 8;

/** Work added to each unit, in busy milliseconds per second, so that units without reported load spread evenly. */
const MINIMUM_UNIT_WORK = 0.01;

interface ServerWork {
  readonly server: ServerRecord;
  readonly speed: number;
  work: number;
}

/**
 * Balances the observed work of the servers relative to their speed. The number of moves per interval is limited, and
 * small differences do not cause any move.
 */
export class LoadBalancePolicy implements BalancePolicy {
  readonly #options: LoadBalanceOptions;
  #nextMoveAt = 0;

  constructor(options: LoadBalanceOptions = defaultLoadBalanceOptions) {
    this.#options = options;
  }

  selectKeysToPin(draft: AssignmentDraft, load: GroupLoad): readonly string[] {
    const threshold = this.#options.pinShare * meanWork(draft, load);
    const pinned = new Set(draft.pins.map(({ keyHash }) => keyHash));
    const hot = [...load.keys].filter(([keyHash, work]) => work > threshold && !pinned.has(keyHash));
    const room = Math.max(0, this.#options.maximumPins - pinned.size);
    return load.total < this.#options.minimumGroupWork ? [] : hot.slice(0, room).map(([keyHash]) => keyHash);
  }

  selectKeysToUnpin(draft: AssignmentDraft, load: GroupLoad): readonly string[] {
    return draft.pins.map(({ keyHash }) => keyHash).filter((keyHash) => this.#isCold(draft, load, keyHash));
  }

  placeUnits(draft: AssignmentDraft, units: readonly Unit[], load: GroupLoad): readonly Placement[] {
    if (units.length === 0) {
      return [];
    }
    const servers = this.#serverWork(draft, load);
    return placeAll(units, servers, load);
  }

  planMoves(draft: AssignmentDraft, load: GroupLoad): readonly Placement[] {
    const leaving = draft.servers.filter(({ phase }) => phase === 'leaving');
    const unitsOfLeavingServers = leaving
      .flatMap(({ number }) => draft.unitsOf(number))
      .filter((unit) => !draft.isReleasing(unit));
    if (unitsOfLeavingServers.length > 0) {
      return placeAll(unitsOfLeavingServers, this.#serverWork(draft, load), load);
    }
    if (draft.releases.length > 0 || performance.now() < this.#nextMoveAt) {
      return [];
    }
    this.#nextMoveAt = performance.now() + this.#options.intervalMilliseconds;
    const balancing = this.#balance(draft, this.#serverWork(draft, load), load);
    return [...balancing, ...this.#returnColdPins(draft, load, balancing)];
  }

  /** Moves pinned keys with little work back to the owners of their slices, where they can be unpinned. */
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
        sliceOwner: draft.owners[sliceOf(keyHash, draft.owners.length)],
      }))
      .flatMap(({ keyHash, owner, sliceOwner }): Placement[] =>
        sliceOwner === undefined || sliceOwner === owner || sliceOwner === NO_OWNER
          ? []
          : [{ unit: { unit: { $case: 'pin', value: keyHash } }, owner: sliceOwner }],
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
    if (load.slices.size > 0 && load.total < this.#options.minimumGroupWork) {
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

  /** Returns the best move away from the busiest server for which some move is worth its cost. */
  #nextMove(
    servers: readonly ServerWork[],
    remaining: ReadonlyMap<number, Unit[]>,
    load: GroupLoad,
  ): Placement | undefined {
    const mean = meanRelativeWork(servers);
    const busy = servers
      .filter((server) => relativeWork(server) > this.#options.imbalanceThreshold * mean)
      .sort((left, right) => relativeWork(right) - relativeWork(left));
    for (const from of busy) {
      const units = remaining.get(from.server.number) ?? [];
      const move = bestMove(from, units, servers, load);
      if (move !== undefined && move.gain >= this.#options.minimumGain * mean) {
        units.splice(units.indexOf(move.unit), 1);
        from.work -= workOf(move.unit, load);
        move.target.work += workOf(move.unit, load);
        return { unit: move.unit, owner: move.target.server.number };
      }
    }
    return undefined;
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
    const target = findBest(servers, (left, right) => relativeWork(left) < relativeWork(right));
    if (target === undefined) {
      return [];
    }
    target.work += workOf(unit, load);
    return [{ unit, owner: target.server.number }];
  });
}

interface Move {
  readonly unit: Unit;
  readonly target: ServerWork;
  /** Reduction of the relative work of the busier of the two servers. */
  readonly gain: number;
}

/** Returns the move after which the busier of the two servers has the least relative work. */
function bestMove(
  from: ServerWork,
  units: readonly Unit[],
  servers: readonly ServerWork[],
  load: GroupLoad,
): Move | undefined {
  const busiest = [...units]
    .sort((left, right) => workOf(right, load) - workOf(left, load))
    .slice(0, MAXIMUM_UNITS_CONSIDERED);
  const leastBusy = [...servers]
    .sort((left, right) => relativeWork(left) - relativeWork(right))
    .slice(0, MAXIMUM_TARGETS_CONSIDERED);
  const moves = busiest.flatMap((unit) =>
    leastBusy
      .filter((target) => target !== from)
      .map((target) => ({ unit, target, gain: gainOf(from, target, unit, load) })),
  );
  return findBest(moves, (left, right) => left.gain > right.gain);
}

function gainOf(from: ServerWork, target: ServerWork, unit: Unit, load: GroupLoad): number {
  const work = workOf(unit, load);
  const busierAfter = Math.max((from.work - work) / from.speed, (target.work + work) / target.speed);
  return relativeWork(from) - busierAfter;
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

function findBest<T>(items: readonly T[], isBetter: (candidate: T, best: T) => boolean): T | undefined {
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
