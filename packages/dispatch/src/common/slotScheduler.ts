import { KeyDemand } from './keyDemand.js';
import type { ProcessingTimeEstimate } from './processingTimes.js';
import { ReturnSchedule } from './returnSchedule.js';
import { hasCapacity, placementCost } from './serverPlacement.js';
import { type SchedulableServer, SchedulableServers, type ServerPaceChange } from './schedulableServers.js';
import { type PaceFactory, ServerPace } from './serverPace.js';
import type { AttemptOutcome, ServerStatistics } from './serverStatistics.js';
import {
  addServer,
  completionRate,
  emptyCapacity,
  processingMilliseconds,
  type ServiceCapacity,
  waitMilliseconds,
} from './serviceCapacity.js';
import { ServiceProcessingTimes } from './serviceProcessingTimes.js';
import { type QueuePosition, SlotQueue } from './slotQueue.js';
import type { RateStatement } from './serverStatements.js';
import type { SlotRequest } from './slotRequest.js';

/** Wait that is assumed for a service without servers, in milliseconds. */
const NO_SERVER_WAIT_MILLISECONDS = 500;
/** Key of the queue of requests that any server of the service can run. No server has this identifier. */
const POOL = '';
/**
 * Share of the time to its deadline that a request may queue if it misses its latency goal anyway. A longer
 * wait would make new requests late as well.
 */
const MAX_LATE_WAIT_SHARE = 0.2;

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
  /** The rate that the owner of the key has asked for, in requests a second. */
  readonly statedRequestsPerSecond?: number;
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

export type { RateStatement, SchedulableServer, ServerPaceChange };

interface Grant {
  readonly server: ServerStatistics;
  readonly expiresAt: number;
}

/** Time after a request's deadline at which a slot that was not released is reclaimed, in milliseconds. */
const GRANT_EXPIRY_SLACK_MILLISECONDS = 500;

/**
 * Grants the slots of one service's servers. Requests without a free slot are queued here instead of at a
 * server, because here they can still be reordered or refused. Methods take the current time and do no I/O.
 *
 * Load pattern: many more requests than slots, for some owners of keys or for the whole service, while servers turn
 * slow or fail. What cannot be served before its deadline is refused as soon as that is known, and the cost of an
 * event does not depend on the number of requests that stay queued.
 */
export class SlotScheduler {
  readonly #servers: SchedulableServers;
  readonly #grants = new Map<string, Grant>();
  /** Queues by server, and the one of requests that any server can run. */
  readonly #queues = new Map<string, SlotQueue>();
  /** Key of its queue by queued request. */
  readonly #queueKeys = new Map<string, string>();
  /** When refused callers return, by key of the queue. */
  readonly #returnSchedules = new Map<string, ReturnSchedule>();
  /** Requests by key, by server. */
  readonly #keyDemands = new Map<string, KeyDemand>();
  readonly #times = new ServiceProcessingTimes();

  /** @param onDidChangePace called when the number of requests changes that a server may have in flight. */
  constructor(
    onDidChangePace: (change: ServerPaceChange) => void = () => undefined,
    createPace: PaceFactory = (slots, onDidChange) => new ServerPace(slots, onDidChange),
  ) {
    this.#servers = new SchedulableServers(this.#times, onDidChangePace, createPace);
  }

  /** Number of queued slot requests. */
  get waiting(): number {
    return this.#queueKeys.size;
  }

  /** Number of slots granted and not released. */
  get inUse(): number {
    return this.#grants.size;
  }

  /** Processing time estimates of all servers that have at least one sample. */
  processingTimes(now: number): ReadonlyMap<string, ProcessingTimeEstimate> {
    return this.#servers.processingTimes(now);
  }

  /** Replaces the set of servers and keeps the statistics of those that stay. */
  setServers(servers: readonly SchedulableServer[], now: number): readonly SlotDecision[] {
    for (const id of this.#servers.replace(servers, now)) {
      this.#returnSchedules.delete(id);
      this.#keyDemands.delete(id);
    }
    return this.#reviewQueues(now);
  }

  /** Decides on a slot request or queues it. One that is queued or granted already changes nothing. */
  submit(request: SlotRequest, now: number): readonly SlotDecision[] {
    if (this.#queueKeys.has(request.id) || this.#grants.has(request.id)) {
      return [];
    }
    const owner = this.#servers.get(request.serverId);
    if (owner?.isEjected(now) === true) {
      return [this.#refuse(request, 'unreachable', owner.remainingEjectionMilliseconds(now), now)];
    }
    const position = this.#positionOf(request, owner, now);
    const server = this.#chooseServer(request, now);
    if (server !== undefined && this.#countAhead(request, now, position) === 0) {
      return [this.#grantOrRefuse(request, server, now)];
    }
    const refusal = this.#refusalOnArrival(request, now, position);
    if (refusal !== undefined) {
      return [refusal];
    }
    const key = request.serverId ?? POOL;
    this.#queueFor(key).add(request, now, position);
    this.#queueKeys.set(request.id, key);
    return this.#processQueue(key, now);
  }

  /**
   * Releases the slot of an attempt that ended, or cancels a slot request that is still queued.
   * @param statements what the server stated in its response, if there was one.
   */
  finish(
    slotRequestId: string,
    outcome: AttemptOutcome,
    now: number,
    statements?: RateStatement,
  ): readonly SlotDecision[] {
    const grant = this.#grants.get(slotRequestId);
    if (grant === undefined) {
      this.#dequeue(slotRequestId);
      return [];
    }
    this.#grants.delete(slotRequestId);
    const milliseconds = grant.server.end(slotRequestId, outcome, now);
    if (statements !== undefined) {
      grant.server.recordStatement(statements, now);
    }
    if (outcome === 'answered' && milliseconds !== undefined) {
      this.#times.record(milliseconds);
    }
    const { id } = grant.server;
    const queue = this.#queues.get(id);
    return [
      ...this.#processQueue(id, now),
      ...(queue !== undefined && grant.server.isEjected(now) ? this.#refuseHopeless(id, queue, now) : []),
      ...this.#processQueue(POOL, now),
    ];
  }

  /** Records what a server stated in a response to a request whose slot another scheduler granted. */
  recordRate(serverId: string, statement: RateStatement, now: number): void {
    this.#servers.get(serverId)?.recordStatement(statement, now);
  }

  /** Refuses queued requests that cannot meet their deadlines, and reclaims slots not released in time. */
  tick(now: number): readonly SlotDecision[] {
    for (const [slotRequestId, grant] of this.#grants) {
      if (now > grant.expiresAt) {
        this.#grants.delete(slotRequestId);
        grant.server.end(slotRequestId, 'cancelled', now);
      }
    }
    return this.#reviewQueues(now);
  }

  /** Grants free slots, and refuses all queued requests that the servers as they are now cannot serve in time. */
  #reviewQueues(now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    for (const [key, queue] of this.#queues) {
      decisions.push(...this.#processQueue(key, now), ...this.#refuseHopeless(key, queue, now));
      if (queue.size === 0) {
        this.#queues.delete(key);
      }
    }
    return decisions;
  }

  /** Grants the free slots for which the requests of a queue wait. */
  #processQueue(key: string, now: number): readonly SlotDecision[] {
    const queue = this.#queues.get(key);
    if (queue === undefined || queue.size === 0) {
      return [];
    }
    return key === POOL ? this.#processPool(queue, now) : this.#processServerQueue(key, queue, now);
  }

  #processServerQueue(serverId: string, queue: SlotQueue, now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    const server = this.#servers.get(serverId);
    if (server === undefined || server.isEjected(now)) {
      return decisions;
    }
    for (let first = queue.first(now); first !== undefined; first = queue.first(now)) {
      if (!hasCapacity(server, now)) {
        break;
      }
      this.#dequeue(first.id);
      decisions.push(this.#grantOrRefuse(first, server, now));
    }
    return decisions;
  }

  #processPool(queue: SlotQueue, now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    if (!this.#hasFreeServer(now)) {
      return decisions;
    }
    for (const request of queue.inOrder(now)) {
      const server = this.#chooseServer(request, now);
      if (server !== undefined) {
        this.#dequeue(request.id);
        decisions.push(this.#grantOrRefuse(request, server, now));
        if (!this.#hasFreeServer(now)) {
          break;
        }
      }
    }
    return decisions;
  }

  #hasFreeServer(now: number): boolean {
    return this.#servers.some((server) => hasCapacity(server, now));
  }

  #refuseHopeless(key: string, queue: SlotQueue, now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = [];
    const owner = this.#servers.get(key);
    const capacity = this.#capacityFor({ serverId: key === POOL ? undefined : key, excludedIds: [] }, now);
    const processing = Math.min(processingMilliseconds(capacity), this.#times.averageMilliseconds);
    const refuse = (request: SlotRequest, refusal: SlotRefusal, wait: number): void => {
      this.#dequeue(request.id);
      decisions.push(this.#refuse(request, refusal, wait, now));
    };
    let ahead = 0;
    for (const request of queue.inOrder(now)) {
      const wait = waitMilliseconds(capacity, ahead);
      if (capacity.servers === 0) {
        refuse(request, 'no-server', key === POOL ? NO_SERVER_WAIT_MILLISECONDS : 0);
      } else if (owner?.isEjected(now) === true) {
        refuse(request, 'unreachable', owner.remainingEjectionMilliseconds(now));
      } else if (now + wait + processing > request.deadlineAt) {
        refuse(request, 'overloaded', wait);
      } else {
        ahead += 1;
      }
    }
    return decisions;
  }

  /**
   * A request that would be cut off by its deadline is refused: the server would run it for nothing. The average of the
   * service limits the estimate, because a server that was unresponsive has one beyond all deadlines, and recovers
   * only if requests are sent to it.
   */
  #grantOrRefuse(request: SlotRequest, server: ServerStatistics, now: number): SlotDecision {
    const processing = Math.min(server.expectedMilliseconds(now), this.#times.averageMilliseconds);
    if (now + processing > request.deadlineAt) {
      return this.#refuse(request, 'overloaded', 0, now);
    }
    server.begin(request.id, now);
    const expiresAt = request.deadlineAt + GRANT_EXPIRY_SLACK_MILLISECONDS;
    this.#grants.set(request.id, { server, expiresAt });
    return { kind: 'granted', slotRequestId: request.id, serverId: server.id };
  }

  /** Server with free capacity that is expected to finish the request first. */
  #chooseServer(request: SlotRequest, now: number): ServerStatistics | undefined {
    if (request.serverId !== undefined) {
      const owner = this.#servers.get(request.serverId);
      return owner !== undefined && hasCapacity(owner, now) ? owner : undefined;
    }
    let best: ServerStatistics | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const server of this.#servers.usable(request, now)) {
      if (hasCapacity(server, now)) {
        const cost = placementCost(request, server, now);
        if (cost < bestCost) {
          best = server;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  /** The place of a new request in the queue. Its key counts as asked for once more. */
  #positionOf({ key, goalAt }: SlotRequest, owner: ServerStatistics | undefined, now: number): QueuePosition {
    if (owner === undefined || key === undefined) {
      return { share: 'within', startBy: goalAt };
    }
    const demand = this.#keyDemands.get(owner.id) ?? new KeyDemand();
    this.#keyDemands.set(owner.id, demand);
    const wasAbove = demand.isAbove(key);
    if (demand.record(key, completionRate(owner, now), now) === 'within') {
      return { share: 'within', startBy: goalAt };
    }
    // Others wait for the same key, so one that is late anyway does not go before those that are not.
    const processing = owner.expectedMilliseconds(now);
    if (!wasAbove) {
      this.#queues.get(owner.id)?.putBehind(key, (queued) => queued.goalAt - processing, now);
    }
    return { share: 'above', startBy: goalAt - processing };
  }

  /** Number of queued requests that get a slot before a new one. */
  #countAhead(request: SlotRequest, now: number, position: QueuePosition): number {
    if (request.serverId !== undefined) {
      const pool = this.#queues.get(POOL)?.countAhead(request, now, position) ?? 0;
      return pool + (this.#queues.get(request.serverId)?.countAhead(request, now, position) ?? 0);
    }
    let count = 0;
    for (const queue of this.#queues.values()) {
      count += queue.countAhead(request, now, position);
    }
    return count;
  }

  #refusalOnArrival(request: SlotRequest, now: number, position: QueuePosition): SlotDecision | undefined {
    const capacity = this.#capacityFor(request, now);
    if (capacity.servers === 0) {
      return this.#refuse(request, 'no-server', NO_SERVER_WAIT_MILLISECONDS, now);
    }
    const wait = waitMilliseconds(capacity, this.#countAhead(request, now, position));
    const processing = processingMilliseconds(capacity);
    const endsAt = now + wait + processing;
    if (endsAt <= Math.min(request.goalAt, request.deadlineAt)) {
      return undefined;
    }
    const isWaitAcceptable =
      wait <= MAX_LATE_WAIT_SHARE * (request.deadlineAt - now) && endsAt <= request.deadlineAt;
    return isWaitAcceptable && now + processing > request.goalAt
      ? undefined
      : this.#refuse(request, 'overloaded', wait, now);
  }

  #refuse(request: SlotRequest, refusal: SlotRefusal, wait: number, now: number): SlotDecision {
    const key = request.serverId ?? POOL;
    const capacity = this.#capacityFor(request, now);
    const schedule = this.#returnSchedules.get(key) ?? new ReturnSchedule();
    this.#returnSchedules.set(key, schedule);
    const interval = capacity.servers === 0 ? 0 : 1 / capacity.completionRate;
    const stated = this.#servers.get(request.serverId)?.requestsPerSecond(now);
    const basis: RefusalBasis = {
      expectedWaitMilliseconds: Math.round(wait),
      expectedWorkMilliseconds: Math.round(processingMilliseconds(capacity)),
      waiting: this.waiting,
      ...(stated === undefined ? {} : { statedRequestsPerSecond: stated }),
    };
    return {
      kind: 'refused',
      slotRequestId: request.id,
      refusal,
      retryAfterMilliseconds: schedule.next(wait, interval, now),
      basis,
    };
  }

  #capacityFor(request: Pick<SlotRequest, 'serverId' | 'excludedIds'>, now: number): ServiceCapacity {
    const capacity = emptyCapacity();
    if (request.serverId === undefined) {
      this.#servers.usable(request, now).forEach((server) => {
        addServer(capacity, server, now);
      });
    } else {
      const owner = this.#servers.get(request.serverId);
      if (owner !== undefined) {
        addServer(capacity, owner, now);
      }
    }
    return capacity;
  }

  #queueFor(key: string): SlotQueue {
    const known = this.#queues.get(key);
    if (known !== undefined) {
      return known;
    }
    const queue = new SlotQueue();
    this.#queues.set(key, queue);
    return queue;
  }

  #dequeue(slotRequestId: string): void {
    const key = this.#queueKeys.get(slotRequestId);
    if (key !== undefined) {
      this.#queueKeys.delete(slotRequestId);
      this.#queues.get(key)?.delete(slotRequestId);
    }
  }
}
