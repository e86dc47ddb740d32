import type { ProcessingTimeEstimate } from './processingTimes.js';
import { type AttemptOutcome, ServerStatistics } from './serverStatistics.js';

/** Requests sent to a server beyond its slots, so that it does not idle while the next one is in transit. */
const QUEUED_PER_SERVER = 1;
/** Average processing time assumed before the first sample of a service, in milliseconds. */
const INITIAL_PROCESSING_MILLISECONDS = 100;
/** Weight of a new sample in the average processing time of the service. */
const AVERAGE_SMOOTHING = 0.05;
/** Bounds of the retry delay sent with a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MILLISECONDS = 50;
const MAX_RETRY_AFTER_MILLISECONDS = 1_500;
/** Body size from which servers of the same availability zone are preferred, in bytes. */
const LARGE_BODY_BYTES = 10_000;
/** Factor on the expected cost of a server in another availability zone, for large bodies. */
const CROSS_ZONE_COST_FACTOR = 3;
/**
 * Share of the time to its deadline that a request may queue if it misses its latency goal anyway. A longer
 * wait would make new requests late as well.
 */
const MAX_LATE_WAIT_SHARE = 0.2;

/** A request for a slot of a server. Times are milliseconds on the scheduler's clock. */
export interface SlotRequest {
  readonly id: string;
  /** The server that owns the key; undefined if any server of the service can run the request. */
  readonly serverId: string | undefined;
  /** Servers on which an attempt of this request failed. */
  readonly excludedIds: readonly string[];
  readonly availabilityZone: string;
  readonly rank: number;
  readonly bodyBytes: number;
  readonly goalAt: number;
  readonly deadlineAt: number;
}

/** Reason why a slot request is refused. */
export type SlotRefusal = 'no-server' | 'overloaded' | 'unreachable';

/** The estimates behind a refusal, for the log. */
export interface RefusalBasis {
  /** Expected time until a slot becomes free, in milliseconds. */
  readonly expectedWaitMilliseconds: number;
  /** Expected processing time of the request at a server, in milliseconds. */
  readonly expectedWorkMilliseconds: number;
  /** Number of queued slot requests. */
  readonly waiting: number;
}

/** Decision on a slot request; a slot request without one stays queued. */
export type SlotDecision =
  | { readonly kind: 'granted'; readonly slotRequestId: string; readonly serverId: string }
  | {
      readonly kind: 'refused';
      readonly slotRequestId: string;
      readonly refusal: SlotRefusal;
      readonly retryAfterMilliseconds: number;
      readonly basis: RefusalBasis;
    };

/** A server whose slots the scheduler grants. */
export interface SchedulableServer {
  readonly id: string;
  readonly incarnation: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly warmupMilliseconds: number;
}

interface Grant {
  readonly server: ServerStatistics;
  readonly expiresAt: number;
}

/** Time after a request's deadline at which a slot that was not released is reclaimed, in milliseconds. */
const GRANT_EXPIRY_SLACK_MILLISECONDS = 500;

/**
 * Grants the slots of one service's servers. Requests without a free slot are queued here instead of at a
 * server, because here they can still be reordered or refused. Methods take the current time and do no I/O.
 */
export class SlotScheduler {
  readonly #servers = new Map<
    string,
    { readonly statistics: ServerStatistics; readonly incarnation: number }
  >();
  readonly #grants = new Map<string, Grant>();
  /** Queued slot requests in order of arrival. */
  #queue: SlotRequest[] = [];
  #averageMilliseconds = INITIAL_PROCESSING_MILLISECONDS;

  /** Number of queued slot requests. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Number of slots granted and not released. */
  get inUse(): number {
    return this.#grants.size;
  }

  /** Processing time estimates of all servers that have at least one sample. */
  processingTimes(now: number): ReadonlyMap<string, ProcessingTimeEstimate> {
    return new Map(
      [...this.#servers].flatMap(([id, { statistics }]) => {
        const time = statistics.longTermProcessingTime(now);
        return time === undefined ? [] : [[id, time]];
      }),
    );
  }

  /** Replaces the set of servers and keeps the statistics of those that stay. */
  setServers(servers: readonly SchedulableServer[], now: number): readonly SlotDecision[] {
    const ids = new Set(servers.map(({ id }) => id));
    for (const id of [...this.#servers.keys()].filter((known) => !ids.has(known))) {
      this.#servers.delete(id);
    }
    for (const server of servers) {
      if (this.#servers.get(server.id)?.incarnation !== server.incarnation) {
        const { id, availabilityZone, slots, warmupMilliseconds, incarnation } = server;
        const statistics = new ServerStatistics(
          id,
          availabilityZone,
          slots,
          this.#averageMilliseconds,
          now + warmupMilliseconds,
        );
        this.#servers.set(id, { statistics, incarnation });
      }
    }
    return this.#processQueue(now);
  }

  submit(request: SlotRequest, now: number): readonly SlotDecision[] {
    const owner =
      request.serverId === undefined ? undefined : this.#servers.get(request.serverId)?.statistics;
    if (owner?.isEjected(now) === true) {
      return [this.#refuse(request, 'unreachable', owner.remainingEjectionMilliseconds(now), now)];
    }
    const server = this.#chooseServer(request, now);
    if (server !== undefined && !this.#hasQueuedBefore(request, server)) {
      return [this.#grant(request, server, now)];
    }
    const refusal = this.#refusalOnArrival(request, now);
    if (refusal !== undefined) {
      return [refusal];
    }
    this.#queue.push(request);
    return this.#processQueue(now);
  }

  /** Releases the slot of an attempt that ended, or cancels a slot request that is still queued. */
  finish(slotRequestId: string, outcome: AttemptOutcome, now: number): readonly SlotDecision[] {
    const grant = this.#grants.get(slotRequestId);
    if (grant === undefined) {
      this.#queue = this.#queue.filter(({ id }) => id !== slotRequestId);
      return [];
    }
    this.#grants.delete(slotRequestId);
    const milliseconds = grant.server.end(slotRequestId, outcome, now);
    if (outcome === 'answered' && milliseconds !== undefined) {
      this.#averageMilliseconds += AVERAGE_SMOOTHING * (milliseconds - this.#averageMilliseconds);
    }
    return this.#processQueue(now);
  }

  /** Refuses queued requests that cannot meet their deadline and reclaims slots not released in time. */
  tick(now: number): readonly SlotDecision[] {
    for (const [slotRequestId, grant] of this.#grants) {
      if (now > grant.expiresAt) {
        this.#grants.delete(slotRequestId);
        grant.server.end(slotRequestId, 'cancelled', now);
      }
    }
    return this.#processQueue(now);
  }

  #processQueue(now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    if (this.#queue.length === 0) {
      return decisions;
    }
    const remaining: SlotRequest[] = [];
    for (const request of [...this.#queue].sort((left, right) => compareRequests(left, right, now))) {
      const server = this.#chooseServer(request, now);
      if (server !== undefined) {
        decisions.push(this.#grant(request, server, now));
        continue;
      }
      const refusal = this.#refusalWhileQueued(request, now);
      if (refusal === undefined) {
        remaining.push(request);
      } else {
        decisions.push(refusal);
      }
    }
    const kept = new Set(remaining);
    this.#queue = this.#queue.filter((request) => kept.has(request));
    return decisions;
  }

  #grant(request: SlotRequest, server: ServerStatistics, now: number): SlotDecision {
    server.begin(request.id, now);
    const expiresAt = request.deadlineAt + GRANT_EXPIRY_SLACK_MILLISECONDS;
    this.#grants.set(request.id, { server, expiresAt });
    return { kind: 'granted', slotRequestId: request.id, serverId: server.id };
  }

  /** Server with free capacity that is expected to finish the request first. */
  #chooseServer(request: SlotRequest, now: number): ServerStatistics | undefined {
    if (request.serverId !== undefined) {
      const owner = this.#servers.get(request.serverId)?.statistics;
      return owner !== undefined && hasCapacity(owner) ? owner : undefined;
    }
    let best: ServerStatistics | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const server of this.#usableServers(request, now)) {
      const cost = placementCost(request, server, now);
      if (hasCapacity(server) && cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    return best;
  }

  #usableServers(request: SlotRequest, now: number): readonly ServerStatistics[] {
    const all = [...this.#servers.values()].map(({ statistics }) => statistics);
    const allowed = all.filter(({ id }) => !request.excludedIds.includes(id));
    const candidates = allowed.length > 0 ? allowed : all;
    const notEjected = candidates.filter((server) => !server.isEjected(now));
    return notEjected.length > 0 ? notEjected : candidates;
  }

  #hasQueuedBefore(request: SlotRequest, server: ServerStatistics): boolean {
    return this.#queue.some(
      (other) => (other.serverId === undefined || other.serverId === server.id) && other.rank <= request.rank,
    );
  }

  #refusalOnArrival(request: SlotRequest, now: number): SlotDecision | undefined {
    const wait = this.#expectedWait(request, now);
    if (wait === undefined) {
      return this.#refuse(request, 'no-server', MAX_RETRY_AFTER_MILLISECONDS / 3, now);
    }
    const processing = this.#expectedProcessing(request, now);
    if (now + wait + processing <= request.goalAt) {
      return undefined;
    }
    const isWaitAcceptable =
      wait <= MAX_LATE_WAIT_SHARE * (request.deadlineAt - now) &&
      now + wait + processing <= request.deadlineAt;
    return isWaitAcceptable && now + processing > request.goalAt
      ? undefined
      : this.#refuse(request, 'overloaded', wait, now);
  }

  #refusalWhileQueued(request: SlotRequest, now: number): SlotDecision | undefined {
    const processing = this.#expectedProcessing(request, now);
    if (request.serverId !== undefined && !this.#servers.has(request.serverId)) {
      return this.#refuse(request, 'no-server', MIN_RETRY_AFTER_MILLISECONDS, now);
    }
    return now + processing > request.deadlineAt
      ? this.#refuse(request, 'overloaded', processing, now)
      : undefined;
  }

  #refuse(request: SlotRequest, refusal: SlotRefusal, wait: number, now: number): SlotDecision {
    const retryAfterMilliseconds = Math.min(
      MAX_RETRY_AFTER_MILLISECONDS,
      Math.max(MIN_RETRY_AFTER_MILLISECONDS, wait),
    );
    const basis: RefusalBasis = {
      expectedWaitMilliseconds: Math.round(this.#expectedWait(request, now) ?? 0),
      expectedWorkMilliseconds: Math.round(this.#expectedProcessing(request, now)),
      waiting: this.#queue.length,
    };
    return { kind: 'refused', slotRequestId: request.id, refusal, retryAfterMilliseconds, basis };
  }

  /** Expected wait of a new slot request behind those ahead of it; undefined if there is no server. */
  #expectedWait(request: SlotRequest, now: number): number | undefined {
    const servers = this.#serversFor(request, now);
    if (servers.length === 0) {
      return undefined;
    }
    const ahead = this.#queue.filter(
      (other) =>
        other.rank <= request.rank && (request.serverId === undefined || other.serverId === request.serverId),
    );
    const inFlight = servers.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const slots = servers.reduce((sum, server) => sum + server.slots, 0);
    const completionsPerMillisecond = servers.reduce(
      (sum, server) => sum + server.slots / server.expectedMilliseconds(now),
      0,
    );
    return Math.max(0, ahead.length + inFlight - slots + 1) / completionsPerMillisecond;
  }

  #expectedProcessing(request: SlotRequest, now: number): number {
    const servers = this.#serversFor(request, now);
    const sum = servers.reduce((total, server) => total + server.expectedMilliseconds(now), 0);
    return servers.length === 0 ? this.#averageMilliseconds : sum / servers.length;
  }

  #serversFor(request: SlotRequest, now: number): readonly ServerStatistics[] {
    if (request.serverId === undefined) {
      return this.#usableServers(request, now);
    }
    const owner = this.#servers.get(request.serverId)?.statistics;
    return owner === undefined ? [] : [owner];
  }
}

/**
 * Orders by rank, then requests that can still meet their goal first. The stable sort keeps arrival order.
 */
function compareRequests(left: SlotRequest, right: SlotRequest, now: number): number {
  return left.rank - right.rank || Number(left.goalAt < now) - Number(right.goalAt < now);
}

function hasCapacity(server: ServerStatistics): boolean {
  return server.inFlight < server.slots + QUEUED_PER_SERVER;
}

function placementCost(request: SlotRequest, server: ServerStatistics, now: number): number {
  const rounds = Math.max(1, (server.inFlight + 1) / server.slots) + server.inFlight / server.slots;
  const isOtherZone =
    request.bodyBytes >= LARGE_BODY_BYTES && server.availabilityZone !== request.availabilityZone;
  return rounds * server.expectedCost(now) * (isOtherZone ? CROSS_ZONE_COST_FACTOR : 1);
}
