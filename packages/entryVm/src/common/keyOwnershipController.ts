import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import {
  estimateProcessingTimes,
  type ProcessingTimeEstimate,
} from '@hickoryhoist/dispatch/common/processingTimes.js';
import {
  AssignerElection,
  CONFIRMATION_TABLE,
  type HeldTerm,
} from '@hickoryhoist/keyownership/common/assignerElection.js';
import {
  ASSIGNER_ROW_KEY,
  CONTROL_TABLE,
  isAssignmentRowKey,
} from '@hickoryhoist/keyownership/common/assignmentStore.js';
import { emptyAssignment } from '@hickoryhoist/keyownership/common/keyAssignment.js';
import {
  encodeDelta,
  type KeyAssignmentDelta,
} from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';
import { KeyAssigner, type RegisteredServer } from '@hickoryhoist/keyownership/common/keyAssigner.js';
import type { KeyGrantClient } from '@hickoryhoist/keyownership/common/keyGrantClient.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';
import type { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import type { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { KeyOwners } from './keyOwners.js';
import { KeyTrafficWindow } from '@hickoryhoist/keyownership/common/keyTrafficWindow.js';
import type { EntryVmRegistry, EntryVmRecord } from './entryVmRegistry.js';
import type { PeerMessage } from './peerMessage.js';
import type { ServerRegistry } from './serverRegistry.js';
import { successionRank } from './successionOrder.js';
import { StoreReaders } from './storeReaders.js';

const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
const REPORT_INTERVAL_MILLISECONDS = 400;
/**
 * Entry VMs probe the store after this long without a heartbeat of the assigner, or when the assigner has not
 * reached the store for this long.
 */
const PROBE_AFTER_MILLISECONDS = 800;
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/**
 * Delay between the first probes of entry VMs of consecutive ranks. Those that would replace the assigner later need
 * not know yet whether they reach the store.
 */
const PROBE_RANK_DELAY_MILLISECONDS = 120;
/** Maximum delay of a first probe by rank. An entry VM that lost the assigner and the store must notice the latter. */
const MAX_PROBE_RANK_DELAY_MILLISECONDS = 2_400;
/** Interval between the probes of an entry VM that cannot reach the store and does not replace the assigner soon. */
const FOLLOWER_PROBE_INTERVAL_MILLISECONDS = 2_000;
/** Entry VMs of lower ranks than this probe an unreachable store less often. */
const FREQUENT_PROBE_RANKS = 8;
/** Limit for each service. If there are more requests in the interval, the first ones serve as a sample. */
const MAX_KEYS_PER_REPORT = 120;
/**
 * Other entry VMs read a larger delta from a neighbour instead of receiving it by datagram. A range takes up to
 * 75 bytes. All moves of one rebalancing, with three ranges each, and the ranges that are merged with them fit.
 */
const MAX_DELTA_RANGES = 100;
/** Attempts to read assignments from other entry VMs before they are read from the store. */
const NEIGHBOUR_ATTEMPTS = 2;
/** The row of an entry VM that sends no message for this long is deleted. If it returns, it writes it again. */
const REMOVAL_TIMEOUT_MILLISECONDS = 8_000;

export interface KeyOwnershipControllerOptions {
  readonly self: EntryVmRecord;
  readonly store: RowStore;
  readonly grantClient: KeyGrantClient;
  readonly controlRows: TableWatcher;
  /** All watched tables by name. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  readonly health: StoreHealth;
  readonly serverRegistry: ServerRegistry;
  readonly entryVmRegistry: EntryVmRegistry;
  readonly services: () => ReadonlyMap<string, RoutedService>;
  readonly processingTimes: () => ReadonlyMap<string, ProcessingTimeEstimate>;
  readonly send: (ipAddress: string, message: PeerMessage) => void;
  readonly sendToOthers: (message: PeerMessage) => void;
  readonly logger: Logger;
}

/**
 * Keeps the assignments of keys up to date, takes part in electing the assigner, and assigns the keys of all
 * keyed services while this process is the assigner.
 */
export class KeyOwnershipController extends DisposableBase {
  readonly #options: KeyOwnershipControllerOptions;
  readonly #election: AssignerElection;
  readonly #readers: StoreReaders;
  readonly #assigners = new Map<string, KeyAssigner>();
  readonly #trafficByService = new Map<string, KeyTrafficWindow>();
  readonly #processingTimes = new Map<string, ProcessingTimeEstimate>();
  /** When the assigner began to monitor each entry VM, by ID. */
  readonly #monitoredSince = new Map<string, number>();
  #recentKeys: Record<string, number[]> = {};
  /** Value of the control table's `fullReadCount` from which on this process may assign keys. */
  #requiredFullReadCount = 0;
  /** The assigner that sent the last heartbeat. */
  #assigner: { readonly id: string; readonly address: string | undefined } | undefined;
  #lastHeartbeatSentAt = 0;
  #lastHeartbeatAt = performance.now();
  /** Time for which the assigner has not reached the store, by its last heartbeat; in milliseconds. */
  #assignerStoreSilence = 0;
  /** Whether the copies of the tables have been current since this process started. They may come from neighbours. */
  #hasBeenCurrent = false;
  #nextProbeAt = 0;
  #nextHeartbeatAt = 0;
  #nextReportAt = 0;

  readonly owners: KeyOwners;

  constructor(options: KeyOwnershipControllerOptions) {
    super();
    this.#options = options;
    const { self, store, logger, controlRows, health, entryVmRegistry } = options;
    this.owners = new KeyOwners((attempt) => {
      if (attempt < NEIGHBOUR_ATTEMPTS || !health.isReachable) {
        controlRows.readMissing(attempt);
      } else {
        controlRows.reload();
      }
    }, logger);
    this.#election = new AssignerElection({
      self,
      store,
      logger,
      assignerRow: () => controlRows.rows.get(ASSIGNER_ROW_KEY),
      rank: () => this.#successionRank(),
      isStoreReachable: () => controlRows.isLoaded && health.isReachable,
      isRankKnown: () => entryVmRegistry.isSettled,
      peerIds: () => entryVmRegistry.entryVms().flatMap(({ id }) => (id === self.id ? [] : [id])),
      hasEnded: ({ id, incarnation }) => entryVmRegistry.hasEnded(id, incarnation),
    });
    this.register(
      this.#election.onDidChange((heldTerm) => {
        this.#assigners.clear();
        if (heldTerm !== undefined) {
          this.#monitoredSince.clear();
          // Relayed changes may be older than the last write of the previous assigner.
          this.#requiredFullReadCount = controlRows.fullReadCount + 1;
          controlRows.reload();
        }
      }),
    );
    this.register(
      controlRows.onDidChange(() => {
        entryVmRegistry.update();
        this.owners.applyRows(controlRows.rows);
      }),
    );
    this.#readers = new StoreReaders({
      selfId: self.id,
      tables: options.tables,
      // Owners are sent by the assigner, and late knowledge of other entry VMs does no harm.
      isConfirmed: (table) => table !== CONTROL_TABLE,
      entryVms: () => entryVmRegistry.entryVms(),
      assignerId: () => this.#heardAssignerId(),
      isSettled: () => entryVmRegistry.isSettled,
      storeSilenceMilliseconds: () => health.silenceMilliseconds(),
      storeReachableMilliseconds: () => health.reachableMilliseconds(),
      isRelayed: (table, key) => table !== CONTROL_TABLE || !isAssignmentRowKey(key),
      sendToOthers: options.sendToOthers,
      logger,
    });
  }

  get isAssigner(): boolean {
    return this.#election.heldTerm !== undefined;
  }

  /** Whether this process reads the change feeds of the store and relays them to other entry VMs. */
  get isReader(): boolean {
    return this.#readers.isReader;
  }

  /** Duration of the next wait for changes of a table whose changes must be known in time, in milliseconds. */
  confirmationWaitMilliseconds(followsChange: boolean): number {
    return this.#readers.confirmationWaitMilliseconds(followsChange, performance.now());
  }

  /** Whether the owners of all keyed services are known, and the tables have been as new as those of the readers once. */
  get isReady(): boolean {
    this.#hasBeenCurrent ||=
      this.#readers.hasContact && [...this.#options.tables.values()].every(({ isCurrent }) => isCurrent);
    return (
      this.#hasBeenCurrent &&
      this.#keyedServices().every((service) => this.owners.assignmentOf(service) !== undefined)
    );
  }

  /**
   * Time for which the store has been reachable. An outage that only this process saw does not count if a
   * reader reached the store throughout.
   */
  storeReachableMilliseconds(): number {
    const { health } = this.#options;
    const own = health.reachableMilliseconds();
    return health.isReachable
      ? Math.max(own, this.#readers.readerStoreReachableMilliseconds(performance.now()))
      : own;
  }

  /** Whether this process receives ownership changes at present, from the assigner or from the store. */
  get receivesOwnerUpdates(): boolean {
    return this.isAssigner || this.#options.health.isReachable || !this.#isAssignerSuspected();
  }

  recordRequest(service: string, key: number): void {
    const keys = (this.#recentKeys[service] ??= []);
    if (keys.length < MAX_KEYS_PER_REPORT) {
      keys.push(key);
    }
  }

  receive(message: PeerMessage): void {
    if (this.#readers.receive(message, performance.now())) {
      return;
    }
    switch (message.type) {
      case 'assignment-change': {
        const { service, rowVersion, change } = message;
        this.owners.applyDelta(service, change, rowVersion);
        return;
      }
      case 'heartbeat':
        this.#election.recordHeartbeat({
          term: message.term,
          id: message.id,
          storeSilenceMilliseconds: message.storeSilence,
        });
        this.#assigner = {
          id: message.id,
          address: this.#options.entryVmRegistry.ipAddressOf(message.id),
        };
        this.#lastHeartbeatSentAt = message.sentAt;
        this.#readers.expectVersions(message.versions);
        this.owners.expectRevisions(message.assignments);
        this.#lastHeartbeatAt = performance.now();
        this.#assignerStoreSilence = message.storeSilence;
        return;
      case 'report':
        this.#election.recordAcknowledgement({
          id: message.id,
          incarnation: message.incarnation,
          term: message.term,
          heartbeatSentAt: message.heartbeatSentAt,
          storeSilenceMilliseconds: message.storeSilence,
        });
        this.#readers.expectVersions(message.versions);
        this.#recordReport(
          message.keys,
          Object.entries(message.serverTimes).map(([id, [milliseconds, sampleCount]]) => [
            id,
            { milliseconds, sampleCount },
          ]),
        );
        return;
      case 'server-leaving':
        this.#options.serverRegistry.recordStatedLeaving(message.serverId, message.serverIncarnation);
        return;
      case 'reader-heartbeat':
      case 'table-changes':
      case 'ask':
      case 'waiting':
      case 'granted':
      case 'refused':
      case 'finish':
        return;
    }
  }

  tick(): void {
    this.#election.tick();
    const now = performance.now();
    this.#readers.tick(now);
    const { heldTerm } = this.#election;
    if (heldTerm !== undefined) {
      if (this.#options.controlRows.fullReadCount >= this.#requiredFullReadCount) {
        this.#runAssigners(heldTerm);
      }
      if (now >= this.#nextHeartbeatAt) {
        this.#nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS;
        this.#sendHeartbeats(heldTerm.term, now);
      }
    }
    this.#probeStoreIfDue(now);
    if (now >= this.#nextReportAt) {
      this.#nextReportAt = now + REPORT_INTERVAL_MILLISECONDS;
      this.#sendReport();
    }
  }

  #isAssignerSuspected(): boolean {
    return performance.now() - this.#lastHeartbeatAt > PROBE_AFTER_MILLISECONDS;
  }

  /** Identifier of the assigner, unless it is not heard. */
  #heardAssignerId(): string | undefined {
    if (this.isAssigner) {
      return this.#options.self.id;
    }
    return this.#isAssignerSuspected() ? undefined : this.#assigner?.id;
  }

  /** Position of this process in the order in which entry VMs replace the assigner. */
  #successionRank(): number {
    const { self, entryVmRegistry } = this.#options;
    return successionRank(entryVmRegistry.entryVms(), self.id);
  }

  /**
   * Reads from the store so that the result updates its health: this process may reach the store although the
   * assigner does not, and can then replace it. Load pattern: hundreds of entry VMs lose the assigner or the store at
   * the same time; they probe in the order in which they would replace the assigner.
   */
  #probeStoreIfDue(now: number): void {
    const { store, logger, controlRows, health, entryVmRegistry } = this.#options;
    if (!entryVmRegistry.isSettled) {
      this.#lastHeartbeatAt = now;
    }
    if (now < this.#nextProbeAt || !controlRows.isLoaded) {
      return;
    }
    const rank = this.#successionRank();
    const delayMilliseconds =
      PROBE_AFTER_MILLISECONDS +
      Math.min(rank * PROBE_RANK_DELAY_MILLISECONDS, MAX_PROBE_RANK_DELAY_MILLISECONDS);
    const mayReplaceAssigner =
      !this.isAssigner &&
      (now - this.#lastHeartbeatAt > delayMilliseconds || this.#assignerStoreSilence > delayMilliseconds);
    if (!mayReplaceAssigner && health.isReachable) {
      return;
    }
    this.#nextProbeAt =
      now +
      (rank < FREQUENT_PROBE_RANKS ? PROBE_INTERVAL_MILLISECONDS : FOLLOWER_PROBE_INTERVAL_MILLISECONDS);
    store.readTable(CONFIRMATION_TABLE).catch((error: unknown) => {
      logger.log('debug', 'store-probe-failed', { reason: describeError(error) });
    });
  }

  /** Steps down as the assigner and does not become a candidate again. */
  resign(): Promise<void> {
    return this.#election.resign();
  }

  #keyedServices(): readonly string[] {
    return [...this.#options.services().values()]
      .filter(({ kind }) => kind === 'keyed')
      .map(({ name }) => name);
  }

  #runAssigners(heldTerm: HeldTerm): void {
    const { store, grantClient, logger, serverRegistry } = this.#options;
    for (const service of this.#keyedServices()) {
      let assigner = this.#assigners.get(service);
      if (assigner === undefined) {
        assigner = new KeyAssigner(
          {
            service,
            store,
            client: grantClient,
            logger,
            assignerLease: {
              isValid: () => this.#election.heldTerm === heldTerm && this.#election.hasValidLease(),
            },
            assignerRowVersion: heldTerm.rowVersion,
            previousLeaseEndsAt: () => this.#election.previousLeaseEndsAt,
            servers: () => this.#registeredServers(service),
            isAbsenceReliable: () => serverRegistry.isAbsenceReliable,
            traffic: () => this.#trafficOf(service).traffic(performance.now()),
            onDidWrite: (delta, rowVersion) => {
              this.#sendDelta(service, delta, rowVersion);
            },
            onDidLoseTerm: (reason) => {
              this.#election.stepDown(reason);
            },
          },
          this.owners.assignmentOf(service) ?? { assignment: emptyAssignment, rowVersion: 0 },
        );
        this.#assigners.set(service, assigner);
      }
      assigner.tick();
    }
  }

  #sendDelta(service: string, delta: KeyAssignmentDelta, rowVersion: number): void {
    if (delta.added.length <= MAX_DELTA_RANGES) {
      this.#options.sendToOthers({
        type: 'assignment-change',
        service,
        rowVersion,
        change: encodeDelta(delta),
      });
    }
  }

  #registeredServers(service: string): ReadonlyMap<string, RegisteredServer> {
    const servers = [...this.#options.serverRegistry.servers.values()].filter(
      (server) => server.service === service,
    );
    const milliseconds = estimateProcessingTimes(
      servers.map(({ id }) => id),
      this.#processingTimes,
    );
    return new Map(
      servers.map(({ id, incarnation, address, phase, slots }) => {
        const processingMilliseconds = Math.max(1, milliseconds.get(id) ?? 1);
        return [
          id,
          { id, incarnation, address, phase, requestsPerSecond: (slots * 1_000) / processingMilliseconds },
        ];
      }),
    );
  }

  #sendHeartbeats(term: number, now: number): void {
    const { self, entryVmRegistry, health, sendToOthers } = this.#options;
    sendToOthers({
      type: 'heartbeat',
      term,
      id: self.id,
      storeSilence: Math.round(health.silenceMilliseconds()),
      versions: this.#readers.versions(),
      assignments: this.owners.revisions(),
      sentAt: this.#election.clockNow(),
    });
    for (const { id } of entryVmRegistry.entryVms()) {
      if (id === self.id) {
        continue;
      }
      const since = Math.max(entryVmRegistry.lastHeardAt(id), this.#monitoredSince.get(id) ?? now);
      this.#monitoredSince.set(id, this.#monitoredSince.get(id) ?? now);
      if (now - since > REMOVAL_TIMEOUT_MILLISECONDS && health.isReachable) {
        this.#monitoredSince.set(id, now);
        void entryVmRegistry.remove(id);
      }
    }
  }

  #sendReport(): void {
    const { self, processingTimes, send, health } = this.#options;
    const keys = this.#recentKeys;
    this.#recentKeys = {};
    const estimates = [...processingTimes()];
    if (this.isAssigner) {
      this.#recordReport(keys, estimates);
    } else if (this.#assigner?.address !== undefined) {
      send(this.#assigner.address, {
        type: 'report',
        id: self.id,
        incarnation: self.incarnation,
        term: this.#election.highestSeenTerm,
        heartbeatSentAt: this.#lastHeartbeatSentAt,
        storeSilence: Math.round(health.silenceMilliseconds()),
        versions: this.#readers.versions(),
        keys,
        serverTimes: Object.fromEntries(
          estimates.map(([id, { milliseconds, sampleCount }]) => [
            id,
            [Math.round(milliseconds), sampleCount],
          ]),
        ),
      });
    }
  }

  #recordReport(
    keys: Readonly<Record<string, number[]>>,
    estimates: Iterable<readonly [string, ProcessingTimeEstimate]>,
  ): void {
    const now = performance.now();
    for (const [service, serviceKeys] of Object.entries(keys)) {
      this.#trafficOf(service).record(serviceKeys, now);
    }
    for (const [id, estimate] of estimates) {
      this.#processingTimes.set(id, estimate);
    }
  }

  #trafficOf(service: string): KeyTrafficWindow {
    const known = this.#trafficByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const window = new KeyTrafficWindow();
    this.#trafficByService.set(service, window);
    return window;
  }
}
