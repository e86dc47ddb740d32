import { waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { AttemptOutcome } from '@hickoryhoist/dispatch/common/serverStatistics.js';
import type { SchedulableServer } from '@hickoryhoist/dispatch/common/slotScheduler.js';
import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import type {
  Slot,
  SlotResult,
  SlotSource,
  SlotRequirements,
} from '@hickoryhoist/dispatch/common/slotSource.js';
import { CoordinatorChoice, type CoordinatorVm, type PassOverReason } from './coordinatorChoice.js';
import type { PeerMessage } from './peerMessage.js';
import { type OwnDecision, SlotCoordinator } from './slotCoordinator.js';

/** Time for the first answer of a coordinator, in milliseconds; a round trip takes 1 to 3 ms. */
const ANSWER_MILLISECONDS = 40;
/** Unanswered asks after which another coordinator is asked. */
const ASKS_PER_COORDINATOR = 2;
/** Time between questions whether an ask still waits, in milliseconds. */
const WAITING_MILLISECONDS = 250;
/** Coordinators asked before this entry VM decides alone. */
const MOST_COORDINATORS = 2;

/** Surroundings of the coordinated slots. */
export interface CoordinatedSlotsOptions {
  readonly self: CoordinatorVm;
  /** Names this process in identifiers of asks. */
  readonly incarnation: string;
  readonly entryVms: () => readonly CoordinatorVm[];
  readonly send: (ipAddress: string, message: PeerMessage) => void;
  /** Sends a message that should not get lost. */
  readonly sendTwice: (ipAddress: string, message: PeerMessage) => void;
  readonly logger: Logger;
}

interface PendingAsk {
  readonly id: string;
  readonly service: string;
  readonly wish: SlotRequirements;
  readonly resolve: (result: SlotResult) => void;
  coordinator: CoordinatorVm;
  asked: number;
  passed: number;
  timer: NodeJS.Timeout | undefined;
  readonly stopListening: () => void;
}

/**
 * Slots of servers, shared by all entry VMs. One entry VM coordinates each server: it alone hands out the
 * server's slots, so that the server's queue stays short and requests wait where they can be reordered. When a
 * coordinator does not answer, the next one in rendezvous order is asked.
 */
export class CoordinatedSlots extends DisposableBase implements SlotSource {
  readonly #options: CoordinatedSlotsOptions;
  readonly #coordinator: SlotCoordinator;
  readonly #choice: CoordinatorChoice;
  readonly #pending = new Map<string, PendingAsk>();
  #nextId = 1;

  constructor(options: CoordinatedSlotsOptions) {
    super();
    this.#options = options;
    this.#coordinator = this.register(new SlotCoordinator(options.send));
    this.#choice = new CoordinatorChoice(options.self, options.entryVms, options.logger);
    this.register(
      this.#coordinator.onDidDecide((own) => {
        this.#takeDecision(own);
      }),
    );
  }

  /** Requests that wait here for a slot, own and others'. */
  get waiting(): number {
    return this.#coordinator.waiting;
  }

  setServers(service: string, servers: readonly SchedulableServer[]): void {
    this.#coordinator.setServers(service, servers);
  }

  /**
   * Time that a request takes, for the servers that are coordinated here. An entry VM that stood in for a coordinator
   * for a moment has seen too few requests.
   */
  serverTimes(): ReadonlyMap<string, ProcessingTimeEstimate> {
    const own = new Map<string, ProcessingTimeEstimate>();
    for (const [service, times] of this.#coordinator.serverTimes()) {
      for (const [serverId, time] of times) {
        if (this.#choice.isFirst(subjectOf(service, serverId))) {
          own.set(serverId, time);
        }
      }
    }
    return own;
  }

  /** Refuses to coordinate from now on. */
  leave(): void {
    this.#coordinator.leave();
    this.#choice.leave();
  }

  acquire(service: string, wish: SlotRequirements, signal: AbortSignal): Promise<SlotResult> {
    return new Promise((resolve) => {
      const id = `${this.#options.incarnation}:${this.#nextId.toString()}`;
      this.#nextId += 1;
      const onAbort = (): void => {
        this.#finish(pending, 'cancelled');
        this.#settle(pending, {
          kind: 'refused',
          refusal: 'overloaded',
          retryAfterMilliseconds: 0,
          coordinatorId: pending.coordinator.id,
          basis: undefined,
        });
      };
      const pending: PendingAsk = {
        id,
        service,
        wish,
        resolve,
        coordinator: this.#options.self,
        asked: 0,
        passed: 0,
        timer: undefined,
        stopListening: () => {
          signal.removeEventListener('abort', onAbort);
        },
      };
      if (signal.aborted) {
        onAbort();
        return;
      }
      this.#pending.set(id, pending);
      signal.addEventListener('abort', onAbort, { once: true });
      pending.coordinator = this.#chooseCoordinator(pending);
      this.#ask(pending);
    });
  }

  /** Handles a message about slots. @returns whether it was one. */
  receive(ipAddress: string, message: PeerMessage): boolean {
    switch (message.type) {
      case 'ask':
        this.#coordinator.receiveAsk(ipAddress, message);
        return true;
      case 'finish':
        this.#coordinator.receiveFinish(message.id, message.use);
        return true;
      case 'waiting': {
        this.#choice.recordAnswer(ipAddress);
        const pending = this.#pending.get(message.id);
        if (pending !== undefined) {
          pending.asked = 0;
          this.#setTimer(pending, WAITING_MILLISECONDS);
        }
        return true;
      }
      case 'granted':
        this.#choice.recordAnswer(ipAddress);
        this.#receiveGrant(ipAddress, message.id, message.serverId);
        return true;
      case 'refused':
        this.#choice.recordAnswer(ipAddress);
        this.#receiveRefusal(message);
        return true;
      case 'heartbeat':
      case 'report':
      case 'reader-heartbeat':
      case 'table-changes':
      case 'assignment-change':
        return false;
    }
  }

  #receiveGrant(ipAddress: string, id: string, serverId: string): void {
    const pending = this.#pending.get(id);
    if (pending?.coordinator.ipAddress !== ipAddress) {
      // The request has ended, or another coordinator is asked by now.
      this.#options.send(ipAddress, { type: 'finish', id, use: 'cancelled' });
      return;
    }
    this.#settle(pending, { kind: 'granted', slot: this.#slot(pending, serverId) });
  }

  #receiveRefusal(message: Extract<PeerMessage, { type: 'refused' }>): void {
    const pending = this.#pending.get(message.id);
    if (pending === undefined) {
      return;
    }
    if (message.refusal === 'not-coordinating') {
      this.#passOver(pending, 'leaving');
      return;
    }
    this.#settle(pending, {
      kind: 'refused',
      refusal: message.refusal,
      retryAfterMilliseconds: message.retryAfter,
      coordinatorId: pending.coordinator.id,
      basis: message.basis,
    });
  }

  /** Takes what this entry VM has decided, as a coordinator, on an ask of its own. */
  #takeDecision({ service, decision }: OwnDecision): void {
    const pending = this.#pending.get(decision.slotRequestId);
    switch (decision.kind) {
      case 'granted':
        if (pending === undefined) {
          this.#coordinator.finish(service, decision.slotRequestId, 'cancelled');
        } else {
          this.#settle(pending, { kind: 'granted', slot: this.#slot(pending, decision.serverId) });
        }
        return;
      case 'refused':
        if (pending !== undefined) {
          this.#settle(pending, { ...decision, coordinatorId: pending.coordinator.id });
        }
    }
  }

  #ask(pending: PendingAsk): void {
    const { self, send } = this.#options;
    const { service, wish, id } = pending;
    if (pending.coordinator.id === self.id) {
      this.#coordinator.ask(service, { ...wish, id });
      return;
    }
    pending.asked += 1;
    const { goalAt, deadlineAt, serverId, ...rest } = wish;
    const now = performance.now();
    send(pending.coordinator.ipAddress, {
      ...rest,
      type: 'ask',
      id,
      service,
      ...(serverId === undefined ? {} : { serverId }),
      excludedIds: [...rest.excludedIds],
      goalIn: Math.round(goalAt - now),
      deadlineIn: Math.round(deadlineAt - now),
    });
    this.#setTimer(pending, ANSWER_MILLISECONDS);
  }

  #setTimer(pending: PendingAsk, milliseconds: number): void {
    clearTimeout(pending.timer);
    const timer = setTimeout(() => {
      void waitForPendingIo().then(() => {
        const isAnswered = pending.timer !== timer || !this.#pending.has(pending.id);
        if (!isAnswered) {
          this.#askOnceMore(pending);
        }
      });
    }, milliseconds);
    pending.timer = timer;
  }

  #askOnceMore(pending: PendingAsk): void {
    if (pending.asked < ASKS_PER_COORDINATOR) {
      this.#ask(pending);
    } else {
      this.#passOver(pending, 'silent');
    }
  }

  /** Turns to the next coordinator. */
  #passOver(pending: PendingAsk, reason: PassOverReason): void {
    this.#choice.passOver(pending.coordinator, reason);
    this.#options.send(pending.coordinator.ipAddress, { type: 'finish', id: pending.id, use: 'cancelled' });
    clearTimeout(pending.timer);
    pending.asked = 0;
    pending.passed += 1;
    pending.coordinator =
      pending.passed >= MOST_COORDINATORS ? this.#options.self : this.#chooseCoordinator(pending);
    this.#ask(pending);
  }

  #chooseCoordinator({ service, wish }: PendingAsk): CoordinatorVm {
    return this.#choice.choose(subjectOf(service, wish.serverId));
  }

  #slot(pending: PendingAsk, serverId: string): Slot {
    return {
      serverId,
      coordinatorId: pending.coordinator.id,
      finish: (use) => {
        this.#finish(pending, use);
      },
    };
  }

  #finish({ coordinator, id, service }: PendingAsk, use: AttemptOutcome): void {
    const { self, sendTwice } = this.#options;
    if (coordinator.id === self.id) {
      this.#coordinator.finish(service, id, use);
      return;
    }
    // A slot whose end is not reported stays taken until the request's deadline.
    sendTwice(coordinator.ipAddress, { type: 'finish', id, use });
  }

  #settle(pending: PendingAsk, result: SlotResult): void {
    clearTimeout(pending.timer);
    pending.stopListening();
    this.#pending.delete(pending.id);
    pending.resolve(result);
  }
}

/** What one entry VM coordinates: a server whose keys are owned, or all servers of another service. */
function subjectOf(service: string, serverId: string | undefined): string {
  return `${service} ${serverId ?? ''}`;
}
