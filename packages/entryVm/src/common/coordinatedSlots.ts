import { waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import {
  decodeRateStatement,
  encodeRateStatement,
  type ServerStatements,
} from '@hickoryhoist/dispatch/common/serverStatements.js';
import type { AttemptOutcome } from '@hickoryhoist/dispatch/common/serverStatistics.js';
import type { SchedulableServer } from '@hickoryhoist/dispatch/common/slotScheduler.js';
import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import type {
  Slot,
  SlotResult,
  SlotSource,
  SlotRequirements,
} from '@hickoryhoist/dispatch/common/slotSource.js';
import {
  CoordinatorSelector,
  type CoordinatorCandidate,
  type SuspicionReason,
} from './coordinatorSelector.js';
import type { PeerMessage } from './peerMessage.js';
import { type LocalDecision, SlotCoordinator } from './slotCoordinator.js';

/** Time for the first response of a coordinator. A round trip takes 1 to 3 ms. */
const RESPONSE_TIMEOUT_MILLISECONDS = 40;
/** Number of times a request is sent to a coordinator that does not respond before it is skipped. */
const SENDS_PER_COORDINATOR = 2;
/** Interval at which a coordinator is asked whether a slot request is still queued there. */
const QUEUED_POLL_MILLISECONDS = 250;
/** Number of skipped coordinators after which this entry VM coordinates the request itself. */
const MAX_COORDINATORS = 2;

export interface CoordinatedSlotsOptions {
  readonly self: CoordinatorCandidate;
  /** Makes the IDs of slot requests unique across restarts. */
  readonly incarnation: string;
  readonly entryVms: () => readonly CoordinatorCandidate[];
  readonly send: (ipAddress: string, message: PeerMessage) => void;
  /** Sends a message with a later duplicate, so that the loss of one datagram does not matter. */
  readonly sendWithDuplicate: (ipAddress: string, message: PeerMessage) => void;
  readonly logger: Logger;
}

/** A slot request of this entry VM that has not been decided. */
interface PendingRequest {
  readonly id: string;
  readonly service: string;
  readonly requirements: SlotRequirements;
  readonly resolve: (result: SlotResult) => void;
  coordinator: CoordinatorCandidate;
  sendCount: number;
  skippedCoordinators: number;
  timer: NodeJS.Timeout | undefined;
  readonly removeAbortListener: () => void;
}

/**
 * Shares the slots of servers among all entry VMs. Each server has one coordinator, an entry VM that alone
 * assigns its slots. This keeps the queue at the server short, and requests wait at the coordinator, where they
 * can be reordered. If a coordinator does not respond, the next one in rendezvous order is used.
 */
export class CoordinatedSlots extends DisposableBase implements SlotSource {
  readonly #options: CoordinatedSlotsOptions;
  readonly #coordinator: SlotCoordinator;
  readonly #selector: CoordinatorSelector;
  readonly #pending = new Map<string, PendingRequest>();
  /** Address of the coordinator by the identifier of the slot request, for slots in use that another entry VM granted. */
  readonly #inUse = new Map<string, string>();
  #nextId = 1;
  #checkers: ReadonlySet<string> = new Set();
  /** The entry VMs from which `#checkers` was made. */
  #knownEntryVms: readonly CoordinatorCandidate[] = [];

  constructor(options: CoordinatedSlotsOptions) {
    super();
    this.#options = options;
    this.#coordinator = this.register(
      new SlotCoordinator(options.send, (ipAddress) => this.#addressesOfCheckers().has(ipAddress)),
    );
    this.#selector = new CoordinatorSelector(options.self, options.entryVms, options.logger);
    this.register(
      this.#coordinator.onDidDecide((decision) => {
        this.#handleLocalDecision(decision);
      }),
    );
  }

  /** Fires when the number of requests changes that a server may have in flight. */
  get onDidChangePace(): SlotCoordinator['onDidChangePace'] {
    return this.#coordinator.onDidChangePace;
  }

  /** Number of slot requests queued here, including those of other entry VMs. */
  get waiting(): number {
    return this.#coordinator.waiting;
  }

  setServers(service: string, servers: readonly SchedulableServer[]): void {
    this.#coordinator.setServers(service, servers);
  }

  /**
   * Estimates for the servers that this entry VM coordinates in the normal case. While it only replaces a
   * suspected coordinator, it sees too few requests for an estimate.
   */
  processingTimes(): ReadonlyMap<string, ProcessingTimeEstimate> {
    const estimates = new Map<string, ProcessingTimeEstimate>();
    for (const [service, estimateByServer] of this.#coordinator.processingTimes()) {
      for (const [serverId, estimate] of estimateByServer) {
        if (this.#selector.isPreferred({ service, serverId })) {
          estimates.set(serverId, estimate);
        }
      }
    }
    return estimates;
  }

  /** Stops coordinating servers: rejects further slot requests of other entry VMs. */
  leave(): void {
    this.#coordinator.leave();
    this.#selector.leave();
  }

  acquire(service: string, requirements: SlotRequirements, signal: AbortSignal): Promise<SlotResult> {
    return new Promise((resolve) => {
      const id = `${this.#options.incarnation}:${this.#nextId.toString()}`;
      this.#nextId += 1;
      const onAbort = (): void => {
        this.#finish(pending, 'cancelled');
        this.#complete(pending, {
          kind: 'refused',
          refusal: 'overloaded',
          retryAfterMilliseconds: 0,
          coordinatorId: pending.coordinator.id,
          basis: undefined,
        });
      };
      const pending: PendingRequest = {
        id,
        service,
        requirements,
        resolve,
        coordinator: this.#options.self,
        sendCount: 0,
        skippedCoordinators: 0,
        timer: undefined,
        removeAbortListener: () => {
          signal.removeEventListener('abort', onAbort);
        },
      };
      if (signal.aborted) {
        onAbort();
        return;
      }
      this.#pending.set(id, pending);
      signal.addEventListener('abort', onAbort, { once: true });
      pending.coordinator = this.#selectCoordinator(pending);
      this.#submit(pending);
    });
  }

  /** Handles messages about slots. @returns false for a message of another kind. */
  receive(ipAddress: string, message: PeerMessage): boolean {
    switch (message.type) {
      case 'ask':
        this.#coordinator.receiveRequest(ipAddress, message);
        return true;
      case 'finish':
        this.#coordinator.receiveFinish(
          message.id,
          message.use,
          message.statements === undefined ? undefined : decodeRateStatement(message.statements),
        );
        return true;
      case 'waiting': {
        this.#selector.recordResponse(ipAddress);
        const pending = this.#pendingAt(ipAddress, message.id);
        if (pending !== undefined) {
          pending.sendCount = 0;
          this.#setTimer(pending, QUEUED_POLL_MILLISECONDS);
        }
        return true;
      }
      case 'slot-check':
        this.#receiveCheck(ipAddress, message.ids);
        return true;
      case 'granted':
        this.#selector.recordResponse(ipAddress);
        this.#receiveGrant(ipAddress, message.id, message.serverId);
        return true;
      case 'refused':
        this.#selector.recordResponse(ipAddress);
        this.#receiveRejection(ipAddress, message);
        return true;
      case 'heartbeat':
      case 'report':
      case 'reader-heartbeat':
      case 'table-changes':
      case 'assignment-change':
      case 'server-leaving':
      case 'crash-evidence':
        return false;
    }
  }

  /**
   * The slot request that a coordinator answers. Load pattern: an overloaded coordinator answers after it was skipped,
   * and the request has moved on to another coordinator or to this process. @returns undefined in that case.
   */
  #pendingAt(ipAddress: string, id: string): PendingRequest | undefined {
    const pending = this.#pending.get(id);
    return pending?.coordinator.ipAddress === ipAddress ? pending : undefined;
  }

  /** Load pattern: an overloaded coordinator gets a request twice before it answers, and grants it twice. */
  #receiveGrant(ipAddress: string, id: string, chosenServerId: string | undefined): void {
    if (this.#inUse.get(id) === ipAddress) {
      return;
    }
    const pending = this.#pendingAt(ipAddress, id);
    const serverId = chosenServerId ?? pending?.requirements.serverId;
    if (pending === undefined || serverId === undefined) {
      // The request is complete, or has moved on to another coordinator.
      this.#options.send(ipAddress, { type: 'finish', id, use: 'cancelled' });
      return;
    }
    this.#complete(pending, { kind: 'granted', slot: this.#createSlot(pending, serverId) });
  }

  /** Load pattern: a `finish` was lost while many requests wait for its slot. Its outcome and statements are not repeated. */
  #receiveCheck(ipAddress: string, ids: readonly string[]): void {
    for (const id of ids) {
      if (this.#inUse.get(id) !== ipAddress && this.#pendingAt(ipAddress, id) === undefined) {
        this.#options.send(ipAddress, { type: 'finish', id, use: 'cancelled' });
      }
    }
  }

  /** Addresses of the entry VMs that send and answer `slot-check`. */
  #addressesOfCheckers(): ReadonlySet<string> {
    const current = this.#options.entryVms();
    if (current !== this.#knownEntryVms) {
      this.#knownEntryVms = current;
      this.#checkers = new Set(
        current.flatMap(({ ipAddress, checksSlots }) => (checksSlots === true ? [ipAddress] : [])),
      );
    }
    return this.#checkers;
  }

  #receiveRejection(ipAddress: string, message: Extract<PeerMessage, { type: 'refused' }>): void {
    const pending = this.#pendingAt(ipAddress, message.id);
    if (pending === undefined) {
      return;
    }
    if (message.refusal === 'not-coordinating') {
      this.#skipCoordinator(pending, 'leaving');
      return;
    }
    this.#complete(pending, {
      kind: 'refused',
      refusal: message.refusal,
      retryAfterMilliseconds: message.retryAfter,
      coordinatorId: pending.coordinator.id,
      basis: message.basis,
    });
  }

  /** Handles a decision on a request of this entry VM that it made as the coordinator. */
  #handleLocalDecision({ service, decision }: LocalDecision): void {
    const pending = this.#pending.get(decision.slotRequestId);
    switch (decision.kind) {
      case 'granted':
        if (pending === undefined) {
          this.#coordinator.finish(service, decision.slotRequestId, 'cancelled');
        } else {
          this.#complete(pending, { kind: 'granted', slot: this.#createSlot(pending, decision.serverId) });
        }
        return;
      case 'refused':
        if (pending !== undefined) {
          this.#complete(pending, { ...decision, coordinatorId: pending.coordinator.id });
        }
    }
  }

  #submit(pending: PendingRequest): void {
    const { self, send } = this.#options;
    const { service, requirements, id } = pending;
    if (pending.coordinator.id === self.id) {
      this.#coordinator.submit(service, { ...requirements, id });
      return;
    }
    pending.sendCount += 1;
    const { goalAt, deadlineAt, serverId, availabilityZone, ...rest } = requirements;
    const now = performance.now();
    send(pending.coordinator.ipAddress, {
      ...rest,
      type: 'ask',
      id,
      service,
      ...(serverId === undefined ? {} : { serverId }),
      availabilityZone: serverId === undefined ? availabilityZone : '',
      excludedIds: [...rest.excludedIds],
      goalIn: Math.round(goalAt - now),
      deadlineIn: Math.round(deadlineAt - now),
    });
    this.#setTimer(pending, RESPONSE_TIMEOUT_MILLISECONDS);
  }

  #setTimer(pending: PendingRequest, milliseconds: number): void {
    clearTimeout(pending.timer);
    const timer = setTimeout(() => {
      void waitForPendingIo().then(() => {
        const hasResponse = pending.timer !== timer || !this.#pending.has(pending.id);
        if (!hasResponse) {
          this.#handleTimeout(pending);
        }
      });
    }, milliseconds);
    pending.timer = timer;
  }

  /** Sends the request again, or skips the coordinator. */
  #handleTimeout(pending: PendingRequest): void {
    if (pending.sendCount < SENDS_PER_COORDINATOR) {
      this.#submit(pending);
    } else {
      this.#skipCoordinator(pending, 'silent');
    }
  }

  /** Withdraws the request from its coordinator and submits it to the next one. */
  #skipCoordinator(pending: PendingRequest, reason: SuspicionReason): void {
    this.#selector.suspect(pending.coordinator, reason);
    this.#options.send(pending.coordinator.ipAddress, { type: 'finish', id: pending.id, use: 'cancelled' });
    clearTimeout(pending.timer);
    pending.sendCount = 0;
    pending.skippedCoordinators += 1;
    pending.coordinator =
      pending.skippedCoordinators >= MAX_COORDINATORS ? this.#options.self : this.#selectCoordinator(pending);
    this.#submit(pending);
  }

  #selectCoordinator({ service, requirements }: PendingRequest): CoordinatorCandidate {
    return this.#selector.select({ service, serverId: requirements.serverId });
  }

  #createSlot(pending: PendingRequest, serverId: string): Slot {
    if (pending.coordinator.id !== this.#options.self.id) {
      this.#inUse.set(pending.id, pending.coordinator.ipAddress);
    }
    return {
      serverId,
      coordinatorId: pending.coordinator.id,
      finish: (outcome, statements) => {
        this.#finish(pending, outcome, statements);
        if (statements !== undefined) {
          // This process takes over when the coordinator does not respond.
          this.#coordinator.recordRate(pending.service, serverId, statements);
        }
      },
    };
  }

  #finish(
    { coordinator, id, service }: PendingRequest,
    outcome: AttemptOutcome,
    statements?: ServerStatements,
  ): void {
    const { self, send, sendWithDuplicate } = this.#options;
    if (coordinator.id === self.id) {
      this.#coordinator.finish(service, id, outcome, statements);
      return;
    }
    this.#inUse.delete(id);
    // If the coordinator misses this message, the slot stays in use until it checks, or else until the request's deadline.
    // A check does not repeat a rate that the server states, and which holds for all entry VMs.
    const isChecked =
      outcome === 'answered' &&
      statements?.requestsPerSecond === undefined &&
      this.#addressesOfCheckers().has(coordinator.ipAddress);
    (isChecked ? send : sendWithDuplicate)(coordinator.ipAddress, {
      type: 'finish',
      id,
      use: outcome,
      ...(statements === undefined ? {} : { statements: encodeRateStatement(statements) }),
    });
  }

  #complete(pending: PendingRequest, result: SlotResult): void {
    clearTimeout(pending.timer);
    pending.removeAbortListener();
    this.#pending.delete(pending.id);
    pending.resolve(result);
  }
}
