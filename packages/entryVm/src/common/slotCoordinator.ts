import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { AttemptOutcome } from '@hickoryhoist/dispatch/common/serverStatistics.js';
import type { SlotRequest } from '@hickoryhoist/dispatch/common/slotRequest.js';
import {
  type RateStatement,
  type SchedulableServer,
  type ServerPaceChange,
  type SlotDecision,
  SlotScheduler,
} from '@hickoryhoist/dispatch/common/slotScheduler.js';
import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import type { SlotRequestMessage, PeerMessage } from './peerMessage.js';

const TICK_MILLISECONDS = 50;
/** A request whose end was not reported is removed this long after its deadline. */
const REMOTE_REQUEST_EXPIRY_MILLISECONDS = 1_000;

/**
 * Age of a grant from which on its entry VM is asked whether it is still in use, and interval of further questions. The
 * first applies while others wait for the server, the second at all times.
 */
const CONTENDED_CHECK_MILLISECONDS = 200;
const CHECK_MILLISECONDS = 1_000;
/** Keeps a check within one packet. */
const MAX_IDS_PER_CHECK = 64;

/** A slot request of another entry VM that is queued here or has been granted. */
interface RemoteRequest {
  readonly ipAddress: string;
  readonly service: string;
  readonly requestedServerId: string | undefined;
  readonly expiresAt: number;
  grantedServerId?: string;
  /** When the slot was granted, or its entry VM was last asked whether it is in use. */
  checkedAt: number;
}

/** Where a slot request is queued: at a server, or at all of a service. */
interface QueuePlace {
  readonly service: string;
  readonly serverId: string | undefined;
}

/** Decision on a slot request of this entry VM itself. */
export interface LocalDecision {
  readonly service: string;
  readonly decision: SlotDecision;
}

/** Assigns the slots of the servers that this entry VM coordinates, to local and remote slot requests. */
export class SlotCoordinator extends DisposableBase {
  readonly #send: (ipAddress: string, message: PeerMessage) => void;
  readonly #answersChecks: (ipAddress: string) => boolean;
  readonly #schedulers = new Map<string, SlotScheduler>();
  readonly #remoteRequests = new Map<string, RemoteRequest>();
  /** Slot requests of this entry VM that are queued here. */
  readonly #localQueued = new Map<string, QueuePlace>();
  readonly #onDidDecide = new Emitter<LocalDecision>();
  #isLeaving = false;

  readonly #onDidChangePace = new Emitter<ServerPaceChange>();

  /** Fires when the number of requests changes that a server may have in flight. */
  readonly onDidChangePace = this.#onDidChangePace.event;
  /** Fires for slot requests of this entry VM. */
  readonly onDidDecide = this.#onDidDecide.event;

  /** @param answersChecks whether the entry VM at an address answers `slot-check`. */
  constructor(
    send: (ipAddress: string, message: PeerMessage) => void,
    answersChecks: (ipAddress: string) => boolean,
  ) {
    super();
    this.#send = send;
    this.#answersChecks = answersChecks;
    const timer = setInterval(() => {
      for (const [service, scheduler] of this.#schedulers) {
        this.#deliver(service, scheduler.tick(performance.now()));
      }
      this.#removeExpiredRequests();
      this.#checkGrants();
    }, TICK_MILLISECONDS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
  }

  /** Number of slot requests queued here, including those of other entry VMs. */
  get waiting(): number {
    return [...this.#schedulers.values()].reduce((sum, { waiting }) => sum + waiting, 0);
  }

  setServers(service: string, servers: readonly SchedulableServer[]): void {
    this.#deliver(service, this.#schedulerFor(service).setServers(servers, performance.now()));
  }

  /** Estimates by service and server, for servers that have answered a request. */
  processingTimes(): ReadonlyMap<string, ReadonlyMap<string, ProcessingTimeEstimate>> {
    const now = performance.now();
    return new Map(
      [...this.#schedulers].map(([service, scheduler]) => [service, scheduler.processingTimes(now)]),
    );
  }

  /** Rejects further slot requests of other entry VMs. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Submits a slot request of this entry VM; `onDidDecide` fires with the decision. */
  submit(service: string, request: SlotRequest): void {
    this.#localQueued.set(request.id, { service, serverId: request.serverId });
    this.#deliver(service, this.#schedulerFor(service).submit(request, performance.now()));
  }

  /** Ends an attempt and releases its slot, or withdraws a request that is still queued. */
  finish(service: string, requestId: string, outcome: AttemptOutcome, statements?: RateStatement): void {
    this.#localQueued.delete(requestId);
    const scheduler = this.#schedulerFor(service);
    this.#deliver(service, scheduler.finish(requestId, outcome, performance.now(), statements));
  }

  /** Records the rate that a server named in a response to a request of this entry VM. */
  recordRate(service: string, serverId: string, statement: RateStatement): void {
    this.#schedulerFor(service).recordRate(serverId, statement, performance.now());
  }

  receiveRequest(ipAddress: string, message: SlotRequestMessage): void {
    const { id, service, serverId, key, excludedIds, availabilityZone, rank } = message;
    const { bodyBytes, responseBytes } = message;
    const known = this.#remoteRequests.get(id);
    if (known !== undefined) {
      this.#send(
        ipAddress,
        known.grantedServerId === undefined
          ? { type: 'waiting', id }
          : grantMessage(id, known, known.grantedServerId),
      );
      return;
    }
    if (this.#isLeaving) {
      this.#send(ipAddress, { type: 'refused', id, refusal: 'not-coordinating', retryAfter: 0 });
      return;
    }
    const now = performance.now();
    const goalAt = now + message.goalIn;
    const deadlineAt = now + message.deadlineIn;
    this.#remoteRequests.set(id, {
      ipAddress,
      service,
      requestedServerId: serverId,
      expiresAt: deadlineAt + REMOTE_REQUEST_EXPIRY_MILLISECONDS,
      checkedAt: now,
    });
    const decisions = this.#schedulerFor(service).submit(
      {
        id,
        serverId,
        key,
        excludedIds,
        availabilityZone,
        rank,
        bodyBytes,
        responseBytes,
        goalAt,
        deadlineAt,
      },
      now,
    );
    this.#deliver(service, decisions);
    if (!decisions.some(({ slotRequestId }) => slotRequestId === id)) {
      this.#send(ipAddress, { type: 'waiting', id });
    }
  }

  receiveFinish(requestId: string, outcome: AttemptOutcome, statements?: RateStatement): void {
    const service = this.#remoteRequests.get(requestId)?.service;
    if (service !== undefined) {
      this.#remoteRequests.delete(requestId);
      this.finish(service, requestId, outcome, statements);
    }
  }

  #deliver(service: string, decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const remote = this.#remoteRequests.get(decision.slotRequestId);
      if (remote === undefined) {
        this.#localQueued.delete(decision.slotRequestId);
        this.#onDidDecide.fire({ service, decision });
      } else {
        this.#sendDecision(remote, decision);
      }
    }
  }

  #sendDecision(remote: RemoteRequest, decision: SlotDecision): void {
    switch (decision.kind) {
      case 'granted':
        remote.grantedServerId = decision.serverId;
        remote.checkedAt = performance.now();
        this.#send(remote.ipAddress, grantMessage(decision.slotRequestId, remote, decision.serverId));
        return;
      case 'refused':
        this.#remoteRequests.delete(decision.slotRequestId);
        this.#send(remote.ipAddress, {
          type: 'refused',
          id: decision.slotRequestId,
          refusal: decision.refusal,
          retryAfter: Math.round(decision.retryAfterMilliseconds),
          basis: decision.basis,
        });
    }
  }

  #removeExpiredRequests(): void {
    const now = performance.now();
    for (const [id, { expiresAt }] of this.#remoteRequests) {
      if (now > expiresAt) {
        this.#remoteRequests.delete(id);
      }
    }
  }

  /**
   * Asks the entry VMs whether old grants are still in use. Load pattern: the message that ends an attempt is lost, and
   * requests wait for a slot that looks taken. Those that end in time cost no message.
   */
  #checkGrants(): void {
    const now = performance.now();
    const checks = new Map<string, string[]>();
    let waitedFor: ReadonlySet<string> | undefined;
    for (const [id, remote] of this.#remoteRequests) {
      const { service, grantedServerId, ipAddress } = remote;
      const age = now - remote.checkedAt;
      if (grantedServerId === undefined || age < CONTENDED_CHECK_MILLISECONDS) {
        continue;
      }
      waitedFor ??= this.#placesWaitedFor();
      const isContended =
        waitedFor.has(placeName(service, grantedServerId)) || waitedFor.has(placeName(service, undefined));
      if ((isContended || age >= CHECK_MILLISECONDS) && this.#answersChecks(ipAddress)) {
        remote.checkedAt = now;
        const ids = checks.get(ipAddress) ?? [];
        checks.set(ipAddress, ids);
        ids.push(id);
      }
    }
    for (const [ipAddress, ids] of checks) {
      for (let start = 0; start < ids.length; start += MAX_IDS_PER_CHECK) {
        this.#send(ipAddress, { type: 'slot-check', ids: ids.slice(start, start + MAX_IDS_PER_CHECK) });
      }
    }
  }

  /** Names of the places at which slot requests are queued. */
  #placesWaitedFor(): ReadonlySet<string> {
    const names = new Set<string>();
    for (const { service, serverId } of this.#localQueued.values()) {
      names.add(placeName(service, serverId));
    }
    for (const { service, requestedServerId, grantedServerId } of this.#remoteRequests.values()) {
      if (grantedServerId === undefined) {
        names.add(placeName(service, requestedServerId));
      }
    }
    return names;
  }

  #schedulerFor(service: string): SlotScheduler {
    const known = this.#schedulers.get(service);
    if (known !== undefined) {
      return known;
    }
    const scheduler = new SlotScheduler((change) => {
      this.#onDidChangePace.fire(change);
    });
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }
}

function placeName(service: string, serverId: string | undefined): string {
  return `${service} ${serverId ?? ''}`;
}

/** The server is named only if the request left the choice to the coordinator. */
function grantMessage(
  id: string,
  { requestedServerId }: Pick<RemoteRequest, 'requestedServerId'>,
  serverId: string,
): PeerMessage {
  return { type: 'granted', id, serverId: serverId === requestedServerId ? undefined : serverId };
}
