import { ServerStatistics, type AttemptOutcome } from './serverStatistics.js';
import type { ProcessingTimeEstimate } from './processingTimes.js';

/** Requests that a server gets beyond its slots, so that it does not idle while the next one is on its way. */
const AHEAD_PER_SERVER = 1;
/** Time that a request takes before anything is known of a service, in milliseconds. */
const INITIAL_MILLISECONDS = 100;
const TYPICAL_SMOOTHING = 0.05;
/** Bounds of the pause after which a refused caller is asked to return, in milliseconds. */
const SHORTEST_RETURN_MILLISECONDS = 50;
const LONGEST_RETURN_MILLISECONDS = 1_500;
/** Body size from which a server of the same availability zone is preferred, in bytes. */
const LARGE_BODY_BYTES = 10_000;
/** Expected cost of a server in another availability zone, relative to one in the same zone, for large bodies. */
const OTHER_ZONE_FACTOR = 3;
/** Share of the time left up to which a request may wait that can no longer meet its goal. */
const LATE_WAIT_SHARE = 0.2;

/** A request for a slot of a server. Times are on the scheduler's clock, in milliseconds. */
export interface SlotRequest {
  readonly id: string;
  /** The owner of the key; undefined when any server of the service will do. */
  readonly serverId: string | undefined;
  /** Servers that already failed this request. */
  readonly excludedIds: readonly string[];
  readonly availabilityZone: string;
  readonly rank: number;
  readonly bodyBytes: number;
  readonly goalAt: number;
  readonly deadlineAt: number;
}

/** Why a slot is refused. */
export type SlotRefusal = 'no-server' | 'overloaded' | 'unreachable';

/** What a refusal was decided on, for the log. */
export interface RefusalBasis {
  /** Time until a slot would have been free, in milliseconds. */
  readonly expectedWaitMilliseconds: number;
  /** Time that the request would have taken at a server, in milliseconds. */
  readonly expectedWorkMilliseconds: number;
  /** Asks of this scheduler that were waiting. */
  readonly waiting: number;
}

/** Answer to an ask; an ask without an answer waits. */
export type SlotDecision =
  | { readonly kind: 'granted'; readonly slotRequestId: string; readonly serverId: string }
  | {
      readonly kind: 'refused';
      readonly slotRequestId: string;
      readonly refusal: SlotRefusal;
      readonly retryAfterMilliseconds: number;
      readonly basis: RefusalBasis;
    };

/** A server that the scheduler may hand out slots of. */
export interface SchedulableServer {
  readonly id: string;
  readonly incarnation: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly warmupMilliseconds: number;
}

interface Grant {
  readonly load: ServerStatistics;
  readonly expiresAt: number;
}

/** Time after a request's deadline at which its slot counts as free without word from the asker. */
const GRANT_SLACK_MILLISECONDS = 500;

/**
 * Hands out the slots of one service's servers. Requests that find no free slot wait here, where they can still
 * be reordered or turned away, and not in a server's queue. It takes the time as an argument and does no I/O.
 */
export class SlotScheduler {
  readonly #loads = new Map<string, { readonly load: ServerStatistics; readonly incarnation: number }>();
  readonly #grants = new Map<string, Grant>();
  /** Asks in order of arrival. */
  #waiting: SlotRequest[] = [];
  #typicalMilliseconds = INITIAL_MILLISECONDS;

  /** Asks that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Slots handed out and not returned. */
  get inUse(): number {
    return this.#grants.size;
  }

  /** Time that a request takes at each server that has answered one. */
  processingTimes(now: number): ReadonlyMap<string, ProcessingTimeEstimate> {
    return new Map(
      [...this.#loads].flatMap(([id, { load }]) => {
        const time = load.longTermTime(now);
        return time === undefined ? [] : [[id, time]];
      }),
    );
  }

  /** Replaces the set of servers; what is known of servers that stay is kept. */
  setServers(servers: readonly SchedulableServer[], now: number): readonly SlotDecision[] {
    const ids = new Set(servers.map(({ id }) => id));
    for (const id of [...this.#loads.keys()].filter((known) => !ids.has(known))) {
      this.#loads.delete(id);
    }
    for (const server of servers) {
      if (this.#loads.get(server.id)?.incarnation !== server.incarnation) {
        const { id, availabilityZone, slots, warmupMilliseconds, incarnation } = server;
        const load = new ServerStatistics(
          id,
          availabilityZone,
          slots,
          this.#typicalMilliseconds,
          now + warmupMilliseconds,
        );
        this.#loads.set(id, { load, incarnation });
      }
    }
    return this.#advance(now);
  }

  submit(ask: SlotRequest, now: number): readonly SlotDecision[] {
    const owner = ask.serverId === undefined ? undefined : this.#loads.get(ask.serverId)?.load;
    if (owner?.isAvoided(now) === true) {
      return [this.#refuse(ask, 'unreachable', owner.avoidedMilliseconds(now), now)];
    }
    const server = this.#choose(ask, now);
    if (server !== undefined && !this.#hasWaitingBefore(ask, server)) {
      return [this.#grant(ask, server, now)];
    }
    const refusal = this.#refusalOnArrival(ask, now);
    if (refusal !== undefined) {
      return [refusal];
    }
    this.#waiting.push(ask);
    return this.#advance(now);
  }

  /** Ends an attempt, or withdraws an ask that still waits. */
  finish(askId: string, use: AttemptOutcome, now: number): readonly SlotDecision[] {
    const grant = this.#grants.get(askId);
    if (grant === undefined) {
      this.#waiting = this.#waiting.filter(({ id }) => id !== askId);
      return [];
    }
    this.#grants.delete(askId);
    const milliseconds = grant.load.end(askId, use, now);
    if (use === 'answered' && milliseconds !== undefined) {
      this.#typicalMilliseconds += TYPICAL_SMOOTHING * (milliseconds - this.#typicalMilliseconds);
    }
    return this.#advance(now);
  }

  /** Turns away what can no longer be served and takes back slots whose users fell silent. */
  tick(now: number): readonly SlotDecision[] {
    for (const [askId, grant] of this.#grants) {
      if (now > grant.expiresAt) {
        this.#grants.delete(askId);
        grant.load.end(askId, 'cancelled', now);
      }
    }
    return this.#advance(now);
  }

  #advance(now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    if (this.#waiting.length === 0) {
      return decisions;
    }
    const remaining: SlotRequest[] = [];
    for (const ask of [...this.#waiting].sort((left, right) => compareAsks(left, right, now))) {
      const server = this.#choose(ask, now);
      if (server !== undefined) {
        decisions.push(this.#grant(ask, server, now));
        continue;
      }
      const refusal = this.#refusalWhileWaiting(ask, now);
      if (refusal === undefined) {
        remaining.push(ask);
      } else {
        decisions.push(refusal);
      }
    }
    const kept = new Set(remaining);
    this.#waiting = this.#waiting.filter((ask) => kept.has(ask));
    return decisions;
  }

  #grant(ask: SlotRequest, load: ServerStatistics, now: number): SlotDecision {
    load.begin(ask.id, now);
    const expiresAt = ask.deadlineAt + GRANT_SLACK_MILLISECONDS;
    this.#grants.set(ask.id, { load, expiresAt });
    return { kind: 'granted', slotRequestId: ask.id, serverId: load.id };
  }

  /** Server with a free place that is expected to finish first. */
  #choose(ask: SlotRequest, now: number): ServerStatistics | undefined {
    if (ask.serverId !== undefined) {
      const load = this.#loads.get(ask.serverId)?.load;
      return load !== undefined && hasRoom(load) ? load : undefined;
    }
    let best: ServerStatistics | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const load of this.#usable(ask, now)) {
      const cost = placementCost(ask, load, now);
      if (hasRoom(load) && cost < bestCost) {
        best = load;
        bestCost = cost;
      }
    }
    return best;
  }

  #usable(ask: SlotRequest, now: number): readonly ServerStatistics[] {
    const all = [...this.#loads.values()].map(({ load }) => load);
    const allowed = all.filter(({ id }) => !ask.excludedIds.includes(id));
    const candidates = allowed.length > 0 ? allowed : all;
    const answering = candidates.filter((load) => !load.isAvoided(now));
    return answering.length > 0 ? answering : candidates;
  }

  #hasWaitingBefore(ask: SlotRequest, server: ServerStatistics): boolean {
    return this.#waiting.some(
      (other) => (other.serverId === undefined || other.serverId === server.id) && other.rank <= ask.rank,
    );
  }

  #refusalOnArrival(ask: SlotRequest, now: number): SlotDecision | undefined {
    const wait = this.#expectedWait(ask, now);
    if (wait === undefined) {
      return this.#refuse(ask, 'no-server', LONGEST_RETURN_MILLISECONDS / 3, now);
    }
    const work = this.#expectedWork(ask, now);
    if (now + wait + work <= ask.goalAt) {
      return undefined;
    }
    const isUseful = wait <= LATE_WAIT_SHARE * (ask.deadlineAt - now) && now + wait + work <= ask.deadlineAt;
    return isUseful && now + work > ask.goalAt ? undefined : this.#refuse(ask, 'overloaded', wait, now);
  }

  #refusalWhileWaiting(ask: SlotRequest, now: number): SlotDecision | undefined {
    const work = this.#expectedWork(ask, now);
    if (ask.serverId !== undefined && !this.#loads.has(ask.serverId)) {
      return this.#refuse(ask, 'no-server', SHORTEST_RETURN_MILLISECONDS, now);
    }
    return now + work > ask.deadlineAt ? this.#refuse(ask, 'overloaded', work, now) : undefined;
  }

  #refuse(ask: SlotRequest, refusal: SlotRefusal, wait: number, now: number): SlotDecision {
    const retryAfterMilliseconds = Math.min(
      LONGEST_RETURN_MILLISECONDS,
      Math.max(SHORTEST_RETURN_MILLISECONDS, wait),
    );
    const basis: RefusalBasis = {
      expectedWaitMilliseconds: Math.round(this.#expectedWait(ask, now) ?? 0),
      expectedWorkMilliseconds: Math.round(this.#expectedWork(ask, now)),
      waiting: this.#waiting.length,
    };
    return { kind: 'refused', slotRequestId: ask.id, refusal, retryAfterMilliseconds, basis };
  }

  /** Time until a slot is free for a new ask, when those before it are served first. */
  #expectedWait(ask: SlotRequest, now: number): number | undefined {
    const servers = this.#serversFor(ask, now);
    if (servers.length === 0) {
      return undefined;
    }
    const before = this.#waiting.filter(
      (other) => other.rank <= ask.rank && (ask.serverId === undefined || other.serverId === ask.serverId),
    );
    const inFlight = servers.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const slots = servers.reduce((sum, server) => sum + server.slots, 0);
    const perMillisecond = servers.reduce(
      (sum, server) => sum + server.slots / server.expectedMilliseconds(now),
      0,
    );
    return Math.max(0, before.length + inFlight - slots + 1) / perMillisecond;
  }

  #expectedWork(ask: SlotRequest, now: number): number {
    const servers = this.#serversFor(ask, now);
    const sum = servers.reduce((total, server) => total + server.expectedMilliseconds(now), 0);
    return servers.length === 0 ? this.#typicalMilliseconds : sum / servers.length;
  }

  #serversFor(ask: SlotRequest, now: number): readonly ServerStatistics[] {
    if (ask.serverId === undefined) {
      return this.#usable(ask, now);
    }
    const load = this.#loads.get(ask.serverId)?.load;
    return load === undefined ? [] : [load];
  }
}

/** By rank; then what can still be in time before what is late anyway; then by arrival (the sort is stable). */
function compareAsks(left: SlotRequest, right: SlotRequest, now: number): number {
  return left.rank - right.rank || Number(left.goalAt < now) - Number(right.goalAt < now);
}

function hasRoom(load: ServerStatistics): boolean {
  return load.inFlight < load.slots + AHEAD_PER_SERVER;
}

function placementCost(ask: SlotRequest, load: ServerStatistics, now: number): number {
  const rounds = Math.max(1, (load.inFlight + 1) / load.slots) + load.inFlight / load.slots;
  const isFar = ask.bodyBytes >= LARGE_BODY_BYTES && load.availabilityZone !== ask.availabilityZone;
  return rounds * load.expectedCost(now) * (isFar ? OTHER_ZONE_FACTOR : 1);
}
