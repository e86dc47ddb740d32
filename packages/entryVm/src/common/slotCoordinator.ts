import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { AttemptOutcome } from '@hickoryhoist/dispatch/common/serverStatistics.js';
import {
  type SchedulableServer,
  type SlotRequest,
  type SlotDecision,
  SlotScheduler,
} from '@hickoryhoist/dispatch/common/slotScheduler.js';
import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import type { AskMessage, PeerMessage } from './peerMessage.js';

const TICK_MILLISECONDS = 50;
/** Time after its deadline at which an ask whose end was not reported is forgotten, in milliseconds. */
const FORGET_MILLISECONDS = 1_000;

/** An ask of another entry VM that waits here or was granted. */
interface RemoteAsk {
  readonly ipAddress: string;
  readonly service: string;
  readonly forgetAt: number;
  granted?: string;
}

/** What was decided on an ask of this entry VM itself. */
export interface OwnDecision {
  readonly service: string;
  readonly decision: SlotDecision;
}

/** Hands out the slots of the servers that this entry VM coordinates, to itself and to the others. */
export class SlotCoordinator extends DisposableBase {
  readonly #send: (ipAddress: string, message: PeerMessage) => void;
  readonly #schedulers = new Map<string, SlotScheduler>();
  readonly #remoteAsks = new Map<string, RemoteAsk>();
  readonly #onDidDecide = new Emitter<OwnDecision>();
  #isLeaving = false;

  /** Fires for asks of this entry VM. */
  readonly onDidDecide = this.#onDidDecide.event;

  constructor(send: (ipAddress: string, message: PeerMessage) => void) {
    super();
    this.#send = send;
    const timer = setInterval(() => {
      for (const [service, scheduler] of this.#schedulers) {
        this.#deliver(service, scheduler.tick(performance.now()));
      }
      this.#forgetOldAsks();
    }, TICK_MILLISECONDS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
  }

  /** Requests that wait here for a slot, own and others'. */
  get waiting(): number {
    return [...this.#schedulers.values()].reduce((sum, { waiting }) => sum + waiting, 0);
  }

  setServers(service: string, servers: readonly SchedulableServer[]): void {
    this.#deliver(service, this.#scheduler(service).setServers(servers, performance.now()));
  }

  /** Time that a request takes, for the servers that have answered one, by service. */
  serverTimes(): ReadonlyMap<string, ReadonlyMap<string, ProcessingTimeEstimate>> {
    const now = performance.now();
    return new Map(
      [...this.#schedulers].map(([service, scheduler]) => [service, scheduler.processingTimes(now)]),
    );
  }

  /** Refuses asks of others from now on. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Asks for this entry VM itself; the decision comes by `onDidDecide`. */
  ask(service: string, ask: SlotRequest): void {
    this.#deliver(service, this.#scheduler(service).submit(ask, performance.now()));
  }

  /** Ends an attempt, or withdraws an ask that still waits. */
  finish(service: string, askId: string, use: AttemptOutcome): void {
    this.#deliver(service, this.#scheduler(service).finish(askId, use, performance.now()));
  }

  receiveAsk(ipAddress: string, message: AskMessage): void {
    const { id, service, serverId, excludedIds, availabilityZone, rank, bodyBytes } = message;
    const known = this.#remoteAsks.get(id);
    if (known !== undefined) {
      this.#send(
        ipAddress,
        known.granted === undefined
          ? { type: 'waiting', id }
          : { type: 'granted', id, serverId: known.granted },
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
    this.#remoteAsks.set(id, { ipAddress, service, forgetAt: deadlineAt + FORGET_MILLISECONDS });
    const decisions = this.#scheduler(service).submit(
      { id, serverId, excludedIds, availabilityZone, rank, bodyBytes, goalAt, deadlineAt },
      now,
    );
    this.#deliver(service, decisions);
    if (!decisions.some(({ slotRequestId: askId }) => askId === id)) {
      this.#send(ipAddress, { type: 'waiting', id });
    }
  }

  receiveFinish(askId: string, use: AttemptOutcome): void {
    const service = this.#remoteAsks.get(askId)?.service;
    if (service !== undefined) {
      this.#remoteAsks.delete(askId);
      this.finish(service, askId, use);
    }
  }

  #deliver(service: string, decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const remote = this.#remoteAsks.get(decision.slotRequestId);
      if (remote === undefined) {
        this.#onDidDecide.fire({ service, decision });
      } else {
        this.#tell(remote, decision);
      }
    }
  }

  #tell(remote: RemoteAsk, decision: SlotDecision): void {
    switch (decision.kind) {
      case 'granted':
        remote.granted = decision.serverId;
        this.#send(remote.ipAddress, {
          type: 'granted',
          id: decision.slotRequestId,
          serverId: decision.serverId,
        });
        return;
      case 'refused':
        this.#remoteAsks.delete(decision.slotRequestId);
        this.#send(remote.ipAddress, {
          type: 'refused',
          id: decision.slotRequestId,
          refusal: decision.refusal,
          retryAfter: Math.round(decision.retryAfterMilliseconds),
          basis: decision.basis,
        });
    }
  }

  #forgetOldAsks(): void {
    const now = performance.now();
    for (const [id, { forgetAt }] of this.#remoteAsks) {
      if (now > forgetAt) {
        this.#remoteAsks.delete(id);
      }
    }
  }

  #scheduler(service: string): SlotScheduler {
    const known = this.#schedulers.get(service);
    if (known !== undefined) {
      return known;
    }
    const scheduler = new SlotScheduler();
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }
}
