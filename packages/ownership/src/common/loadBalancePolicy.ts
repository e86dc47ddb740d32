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
  /** Relief that a move must bring, as a share of the mean, to be worth its cost. */
  readonly leastGain: number;
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
  leastGain: 0.04,
  movesPerInterval: 8,
  intervalMilliseconds: 2_000,
  pinShare: 0.05,
  unpinShare: 0.02,
  maximumPins: 300,
  idleWork: 20,
};

/** Heaviest units of a busy server, and idlest servers, among which the best move is sought. */
const UNITS_CONSIDERED = 48;
const TARGETS_CONSIDERED = 8;

/** Work that a unit counts for before any load was reported, in busy milliseconds per second. */
const MINIMUM_UNIT_WORK = 0.01;

interface ServerWork {
  readonly server: ServerRecord;
  readonly speed: number;
  work: number;
}

/**
 * Balances by observed work. A server's work is judged relative to its speed. Moves for balance are bounded
 * per interval, and a least gain keeps small differences from moving anything.
 */
export class LoadBalancePolicy implements BalancePolicy {
  readonly #options: LoadBalanceOptions;
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

  /** The best move away from the busiest server that any move can relieve. */
  #nextMove(
    servers: readonly ServerWork[],
    remaining: ReadonlyMap<number, Unit[]>,
    load: GroupLoad,
  ): Placement | undefined {
    const mean = meanRelativeWork(servers);
    const busy = servers
      .filter((server) => relativeWork(server) > this.#options.startRatio * mean)
      .sort((left, right) => relativeWork(right) - relativeWork(left));
    for (const from of busy) {
      const units = remaining.get(from.server.number) ?? [];
      const move = bestMove(from, units, servers, load);
      if (move !== undefined && move.gain >= this.#options.leastGain * mean) {
        units.splice(units.indexOf(move.unit), 1);
        from.work -= workOf(move.unit, load);
        move.towards.work += workOf(move.unit, load);
        return { unit: move.unit, owner: move.towards.server.number };
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
    const target = extreme(servers, (left, right) => relativeWork(left) < relativeWork(right));
    if (target === undefined) {
      return [];
    }
    target.work += workOf(unit, load);
    return [{ unit, owner: target.server.number }];
  });
}

interface Move {
  readonly unit: Unit;
  readonly towards: ServerWork;
  /** Relative work by which the busier of the two servers gets relief. */
  readonly gain: number;
}

/** The move that leaves the busier of both servers with the least relative work. */
function bestMove(
  from: ServerWork,
  units: readonly Unit[],
  servers: readonly ServerWork[],
  load: GroupLoad,
): Move | undefined {
  const heaviest = [...units]
    .sort((left, right) => workOf(right, load) - workOf(left, load))
    .slice(0, UNITS_CONSIDERED);
  const idlest = [...servers]
    .sort((left, right) => relativeWork(left) - relativeWork(right))
    .slice(0, TARGETS_CONSIDERED);
  const moves = heaviest.flatMap((unit) =>
    idlest
      .filter((towards) => towards !== from)
      .map((towards) => ({ unit, towards, gain: gainOf(from, towards, unit, load) })),
  );
  return extreme(moves, (left, right) => left.gain > right.gain);
}

function gainOf(from: ServerWork, towards: ServerWork, unit: Unit, load: GroupLoad): number {
  const work = workOf(unit, load);
  const busierAfter = Math.max((from.work - work) / from.speed, (towards.work + work) / towards.speed);
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
