import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import { AssignerElection, type HeldTerm } from '@hickoryhoist/keyownership/common/assignerElection.js';
import { CONFIRMATION_TABLE } from '@hickoryhoist/keyownership/common/assignerRow.js';
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
import { KeyAssigner } from '@hickoryhoist/keyownership/common/keyAssigner.js';
import type { KeyGrantClient } from '@hickoryhoist/keyownership/common/keyGrantClient.js';
import { StoreReturnRecovery } from '@hickoryhoist/keyownership/common/storeReturnRecovery.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { paceFailedWrites } from '@hickoryhoist/store/common/pacedWrites.js';
import { recordTransactions } from '@hickoryhoist/store/common/recordedRowStore.js';
import type { RowStore, RowTransaction } from '@hickoryhoist/store/common/rowStore.js';
import type { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import type { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import type { AssignableServers } from './assignableServers.js';
import { KeyOwners } from './keyOwners.js';
import { KeyTrafficReports } from './keyTrafficReports.js';
import type { EntryVmRegistry, EntryVmRecord } from './entryVmRegistry.js';
import type { PeerMessage } from './peerMessage.js';
import type { ServerRegistry } from './serverRegistry.js';
import { PROBE_AFTER_MILLISECONDS, StoreProbe } from './storeProbe.js';
import { successionRank } from './successionOrder.js';
import { StoreReaders } from './storeReaders.js';

const HEARTBEAT_INTERVAL_MILLISECONDS = 200;
const REPORT_INTERVAL_MILLISECONDS = 400;
/**
 * Other entry VMs read a larger delta from a neighbour instead of receiving it by datagram. A range takes up to
 * 75 bytes. All moves of one rebalancing, with three ranges each, and the ranges that are merged with them fit.
 */
const MAX_DELTA_RANGES = 100;
/** Attempts to read assignments from other entry VMs before they are read from the store. */
const NEIGHBOUR_ATTEMPTS = 2;
/** Age of copies read from the store up to which a process that starts counts as current, as with a reader's copies. */
const MAX_FIRST_COPY_AGE_MILLISECONDS = 900;
/** The row of an entry VM that sends no message for this long is deleted. If it returns, it writes it again. */
const REMOVAL_TIMEOUT_MILLISECONDS = 8_000;

export interface KeyOwnershipControllerOptions {
  readonly self: EntryVmRecord;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly store: RowStore;
  readonly grantClient: KeyGrantClient;
  readonly controlRows: TableWatcher;
  /** All watched tables by name. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  readonly health: StoreHealth;
  readonly serverRegistry: ServerRegistry;
  readonly assignableServers: AssignableServers;
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
  readonly #probe: StoreProbe;
  /** Store to which the assigners write. */
  readonly #assignmentStore: RowStore;
  readonly #assigners = new Map<string, KeyAssigner>();
  readonly #reports = new KeyTrafficReports();
  readonly #recovery: StoreReturnRecovery;
  /** When the assigner began to monitor each entry VM, by ID. */
  readonly #monitoredSince = new Map<string, number>();
  /** Version of the last confirmation of the assigner lease by this process. */
  #lastConfirmationVersion = 0;
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
  #nextHeartbeatAt = 0;
  #nextReportAt = 0;

  readonly owners: KeyOwners;

  constructor(options: KeyOwnershipControllerOptions) {
    super();
    this.#options = options;
    const { self, logger, controlRows, health, entryVmRegistry } = options;
    const store = recordTransactions(options.store, (transaction, version) => {
      this.#recordTransaction(transaction, version);
    });
    this.owners = new KeyOwners((attempt) => {
      // What the store has lost is known to other entry VMs only, so they are asked again after the store.
      const turn = attempt % (NEIGHBOUR_ATTEMPTS + 1);
      if (turn < NEIGHBOUR_ATTEMPTS || !health.isReachable) {
        controlRows.readMissing(turn);
      } else {
        controlRows.reload();
      }
    }, logger);
    const peerIds = (): readonly string[] =>
      entryVmRegistry.entryVms().flatMap(({ id }) => (id === self.id ? [] : [id]));
    const { isFirstStart } = options;
    this.#recovery = new StoreReturnRecovery({ isFirstStart, peerIds });
    this.#election = new AssignerElection({
      self,
      store,
      logger,
      assignerRow: () => controlRows.rows.get(ASSIGNER_ROW_KEY),
      rank: () => this.#successionRank(),
      isStoreReachable: () => controlRows.isLoaded && health.isReachable,
      isRankKnown: () => entryVmRegistry.isSettled,
      peerIds,
      hasEnded: (candidate, record) => entryVmRegistry.hasEnded(candidate, record),
      recordGap: (era, recordedTerm, settled) => this.#recovery.recordGap(era, recordedTerm, settled),
      isTermSettled: (heldTerm) =>
        this.#recovery.isTermSettled(heldTerm, this.#election.previousLeaseEndsAt, performance.now()),
    });
    this.register(
      this.#election.onDidChange((heldTerm) => {
        this.#assigners.clear();
        if (heldTerm !== undefined) {
          this.#recovery.startTerm(heldTerm, performance.now());
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
    this.#probe = new StoreProbe(store, logger);
    this.#assignmentStore = paceFailedWrites(store);
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
  confirmationWaitMilliseconds(table: string): number {
    return this.#readers.confirmationWaitMilliseconds(table, performance.now());
  }

  /** Time for which a call about a table is not due, in milliseconds, because another reader waits for its changes. */
  deferralMilliseconds(table: string): number {
    return this.#readers.deferralMilliseconds(table, performance.now());
  }

  /** Whether the owners of all keyed services are known, and the tables have been as new as those of the readers once. */
  get isReady(): boolean {
    this.#hasBeenCurrent ||=
      this.#hasReadStore() ||
      (this.#readers.hasContact && [...this.#options.tables.values()].every(({ isCurrent }) => isCurrent));
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
    this.#reports.recordRequest(service, key);
  }

  receive(message: PeerMessage): void {
    if (this.#readers.receive(message, performance.now())) {
      return;
    }
    switch (message.type) {
      case 'assignment-change': {
        const { service, rowVersion, change } = message;
        this.#readers.recordTransaction(rowVersion);
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
        this.#readers.recordTransaction(message.versions[CONFIRMATION_TABLE] ?? 0);
        this.#readers.expectVersions(message.versions);
        this.owners.expectRevisions(message.assignments);
        this.#lastHeartbeatAt = performance.now();
        if (message.term === this.#election.highestSeenTerm) {
          const { versions, lacksAssignments = false } = message;
          this.#recovery.recordHeartbeat(versions, lacksAssignments, this.#lastHeartbeatAt);
        }
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
        this.#recovery.recordReport(message.id, message.term, message.newestRevisions !== undefined);
        this.owners.expectRevisions(message.newestRevisions ?? {});
        this.#reports.recordReport(
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
      case 'crash-evidence':
      case 'slot-check':
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
      if (this.#election.hasValidLease()) {
        this.#recovery.recordOwnTerm(heldTerm, this.#lacksAssignments(heldTerm, now), now);
      }
      if (this.#areTablesRead()) {
        this.#runAssigners(heldTerm);
      }
      if (now >= this.#nextHeartbeatAt) {
        this.#nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS;
        this.#sendHeartbeats(heldTerm, now);
      }
    }
    this.#probeStoreIfDue(now);
    if (now >= this.#nextReportAt) {
      this.#nextReportAt = now + REPORT_INTERVAL_MILLISECONDS;
      this.#sendReport();
    }
  }

  /**
   * Whether this process knows enough to assign keys: the store has confirmed each of its copies since the process
   * started, and the control table since it was elected. Load pattern: all entry VMs start again at the same time, and
   * the assigner is elected before it knows any server; all keys would seem to have lost their owners.
   */
  #areTablesRead(): boolean {
    const { controlRows, tables } = this.#options;
    return (
      controlRows.fullReadCount >= this.#requiredFullReadCount &&
      [...tables.values()].every(({ confirmedAt }) => confirmedAt > Number.NEGATIVE_INFINITY)
    );
  }

  /**
   * Whether this process has just read all tables from the store itself. Load pattern: the first entry VMs that return
   * after a loss of power hear no reader yet, and each writes its row, so that no copy of the control table is current.
   */
  #hasReadStore(): boolean {
    const now = performance.now();
    return [...this.#options.tables].every(
      ([name, { confirmedAt, isCurrent }]) =>
        now - confirmedAt < MAX_FIRST_COPY_AGE_MILLISECONDS && (isCurrent || name === CONTROL_TABLE),
    );
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

  #probeStoreIfDue(now: number): void {
    const { controlRows, health, entryVmRegistry } = this.#options;
    if (!entryVmRegistry.isSettled) {
      this.#lastHeartbeatAt = now;
    }
    if (controlRows.isLoaded) {
      this.#probe.probeIfDue(now, {
        rank: this.#successionRank(),
        isAssigner: this.isAssigner,
        isStoreReachable: health.isReachable,
        millisecondsSinceHeartbeat: now - this.#lastHeartbeatAt,
        assignerStoreSilence: this.#assignerStoreSilence,
      });
    }
  }

  /** Steps down as the assigner and does not become a candidate again. */
  async resign(): Promise<void> {
    await this.#election.resign();
    this.#options.controlRows.poll();
  }

  #keyedServices(): readonly string[] {
    return [...this.#options.services().values()]
      .filter(({ kind }) => kind === 'keyed')
      .map(({ name }) => name);
  }

  #runAssigners(heldTerm: HeldTerm): void {
    const { grantClient, logger, serverRegistry, assignableServers } = this.#options;
    for (const service of this.#keyedServices()) {
      let assigner = this.#assigners.get(service);
      if (assigner === undefined && this.#mayBeUnknownGrants(heldTerm, service)) {
        this.owners.expectRevisions({});
        continue;
      }
      if (assigner === undefined) {
        assigner = new KeyAssigner(
          {
            service,
            store: this.#assignmentStore,
            client: grantClient,
            logger,
            assignerLease: {
              isValid: () => this.#election.heldTerm === heldTerm && this.#election.hasValidLease(),
            },
            assignerRowVersion: heldTerm.rowVersion,
            minRevision: this.owners.announcedRevision(service) + 1,
            previousLeaseEndsAt: () => this.#election.previousLeaseEndsAt,
            servers: () => assignableServers.ofService(service, this.#reports.processingTimes),
            isAbsenceReliable: () => serverRegistry.isAbsenceReliable,
            traffic: () => this.#reports.traffic(service),
            newestTraffic: () => this.#reports.newestTraffic(service),
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

  #lacksAssignments(heldTerm: HeldTerm, now: number): boolean {
    const { previousLeaseEndsAt } = this.#election;
    return this.#recovery.lacksAssignments(heldTerm, this.owners.isAnyBehind, previousLeaseEndsAt, now);
  }

  #mayBeUnknownGrants(heldTerm: HeldTerm, service: string): boolean {
    const revision = this.owners.assignmentOf(service)?.assignment.revision ?? 0;
    const known = { revision, isBehind: this.owners.isBehind(service) };
    const { previousLeaseEndsAt } = this.#election;
    return this.#recovery.mayBeUnknownGrants(heldTerm, known, previousLeaseEndsAt, performance.now());
  }

  #recordTransaction({ puts }: RowTransaction, version: number): void {
    this.#readers.recordTransaction(version);
    if (puts.some(({ table }) => table === CONFIRMATION_TABLE)) {
      this.#lastConfirmationVersion = version;
    }
  }

  /** Tells this process and the others, who do not wait for the feed. */
  #sendDelta(service: string, delta: KeyAssignmentDelta, rowVersion: number): void {
    const change = encodeDelta(delta);
    this.owners.applyDelta(service, change, rowVersion);
    if (delta.added.length <= MAX_DELTA_RANGES) {
      this.#options.sendToOthers({ type: 'assignment-change', service, rowVersion, change });
    }
  }

  #sendHeartbeats(heldTerm: HeldTerm, now: number): void {
    const { self, entryVmRegistry, health, sendToOthers } = this.#options;
    const lacksAssignments = this.#lacksAssignments(heldTerm, now);
    sendToOthers({
      type: 'heartbeat',
      term: heldTerm.term,
      id: self.id,
      storeSilence: Math.round(health.silenceMilliseconds()),
      versions: { ...this.#readers.versions(), [CONFIRMATION_TABLE]: this.#lastConfirmationVersion },
      assignments: this.owners.revisions(),
      sentAt: this.#election.clockNow(),
      ...(lacksAssignments ? { lacksAssignments } : {}),
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
    const keys = this.#reports.takeRecentKeys();
    const estimates = [...processingTimes()];
    if (this.isAssigner) {
      this.#reports.recordReport(keys, estimates);
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
        newestRevisions: this.#recovery.isWitness(performance.now())
          ? this.owners.newestRevisions()
          : undefined,
      });
    }
  }
}
