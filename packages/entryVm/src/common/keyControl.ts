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
import { broadcastFitness, type EntryVmRoster, type RosterEntry } from './entryVmRoster.js';
import type { PeerMessage } from './peerMessage.js';
import type { ServerRegistry } from './serverRegistry.js';
import { StoreReaders } from './storeReaders.js';

const HEARTBEAT_MILLISECONDS = 200;
const REPORT_MILLISECONDS = 400;
/** Time for which the assigner is without the store before others look for themselves, in milliseconds. */
const PROBE_AFTER_MILLISECONDS = 800;
const PROBE_MILLISECONDS = 1_000;
/** Keys in one report at most; beyond, a part of them stands for all. */
const KEYS_PER_REPORT = 120;
/**
 * Ranges in a change that is told to the others by datagram, at up to 75 bytes each; they read a larger one. All moves
 * of one look at the balance, three ranges each, and the ranges joined with them fit.
 */
const MOST_RANGES_TOLD = 100;
/** Silence after which an entry VM's row is deleted, in milliseconds; its return writes it again. */
const GONE_MILLISECONDS = 8_000;

/** Surroundings of the control of keys. */
export interface KeyControlOptions {
  readonly self: RosterEntry;
  readonly store: RowStore;
  readonly grantClient: KeyGrantClient;
  readonly controlRows: TableWatcher;
  /** All watched tables by name. */
  readonly tables: ReadonlyMap<string, TableWatcher>;
  readonly health: StoreHealth;
  readonly registry: ServerRegistry;
  readonly roster: EntryVmRoster;
  readonly services: () => ReadonlyMap<string, RoutedService>;
  readonly serverTimes: () => ReadonlyMap<string, ProcessingTimeEstimate>;
  readonly send: (ipAddress: string, message: PeerMessage) => void;
  readonly sendToOthers: (message: PeerMessage) => void;
  readonly logger: Logger;
}

/** Follows the assignments of keys, and takes part in deciding them when this process is the assigner. */
export class KeyControl extends DisposableBase {
  readonly #options: KeyControlOptions;
  readonly #election: AssignerElection;
  readonly #readers: StoreReaders;
  readonly #assigners = new Map<string, KeyAssigner>();
  readonly #traffic = new Map<string, KeyTrafficWindow>();
  readonly #serverTimes = new Map<string, ProcessingTimeEstimate>();
  readonly #firstHeardAt = new Map<string, number>();
  #recentKeys: Record<string, number[]> = {};
  /** Full reads of the control table after which this process may start to assign. */
  #loadsBeforeAssigning = 0;
  #assignerAddress: string | undefined;
  #heartbeatSentAt = 0;
  #heartbeatAt = performance.now();
  #nextProbeAt = 0;
  #nextHeartbeatAt = 0;
  #nextReportAt = 0;

  readonly owners: KeyOwners;

  constructor(options: KeyControlOptions) {
    super();
    this.#options = options;
    const { self, store, logger, controlRows, health, roster } = options;
    this.owners = new KeyOwners(() => {
      controlRows.reload();
    }, logger);
    this.#election = new AssignerElection({
      self,
      store,
      logger,
      assignerRow: () => controlRows.rows.get(ASSIGNER_ROW_KEY),
      rank: () => bySize(roster.entryVms()).findIndex(({ id }) => id === self.id),
      isStoreReachable: () => controlRows.isLoaded && health.isReachable,
      peerIds: () => roster.entryVms().flatMap(({ id }) => (id === self.id ? [] : [id])),
      hasEnded: ({ id, incarnation }) => roster.hasEnded(id, incarnation),
    });
    this.register(
      this.#election.onDidChange((won) => {
        this.#assigners.clear();
        if (won !== undefined) {
          this.#firstHeardAt.clear();
          // What was passed on by others may be behind what the former assigner has written.
          this.#loadsBeforeAssigning = controlRows.fullReadCount + 1;
          controlRows.reload();
        }
      }),
    );
    this.register(
      controlRows.onDidChange(() => {
        roster.update();
        this.owners.takeRows(controlRows.rows);
      }),
    );
    this.#readers = new StoreReaders({
      selfId: self.id,
      tables: options.tables,
      entryVms: () => roster.entryVms(),
      mustRead: () => this.isAssigner,
      storeSilence: () => health.silenceMilliseconds(),
      storeReachable: () => health.reachableMilliseconds(),
      isPassedOn: (table, key) => table !== CONTROL_TABLE || !isAssignmentRowKey(key),
      sendToOthers: options.sendToOthers,
    });
  }

  get isAssigner(): boolean {
    return this.#election.heldTerm !== undefined;
  }

  /** Whether this process follows the store for others. */
  get isReader(): boolean {
    return this.#readers.isReader;
  }

  /** Whether the owners of all keyed services are known. */
  get isReady(): boolean {
    return this.#keyedServices().every((service) => this.owners.assignmentOf(service) !== undefined);
  }

  /**
   * Milliseconds for which the store has been there without an outage. What this process was cut off from was no outage
   * when a reader has reached the store all the while.
   */
  storeReachableMilliseconds(): number {
    const { health } = this.#options;
    const own = health.reachableMilliseconds();
    return health.isReachable
      ? Math.max(own, this.#readers.heardStoreReachableMilliseconds(performance.now()))
      : own;
  }

  /** Whether changes of owners reach this process, from the assigner or from the store. */
  get receivesOwnerUpdates(): boolean {
    return this.isAssigner || this.#options.health.isReachable || !this.#isAssignerSilent();
  }

  recordRequest(service: string, key: number): void {
    const keys = (this.#recentKeys[service] ??= []);
    if (keys.length < KEYS_PER_REPORT) {
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
        this.owners.takeChange(service, change, rowVersion);
        return;
      }
      case 'heartbeat':
        this.#election.recordHeartbeat({
          term: message.term,
          id: message.id,
          storeSilenceMilliseconds: message.storeSilence,
        });
        this.#assignerAddress = this.#options.roster.ipAddressOf(message.id);
        this.#heartbeatSentAt = message.sentAt;
        this.#readers.expectVersions(message.versions);
        this.owners.expectRevisions(message.assignments);
        this.#heartbeatAt = performance.now();
        if (message.storeSilence > PROBE_AFTER_MILLISECONDS) {
          this.#probeStore();
        }
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
        this.#takeReport(
          message.keys,
          Object.entries(message.serverTimes).map(([id, [milliseconds, sampleCount]]) => [
            id,
            { milliseconds, sampleCount },
          ]),
        );
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
    const { heldTerm: won } = this.#election;
    if (won !== undefined) {
      if (this.#options.controlRows.fullReadCount >= this.#loadsBeforeAssigning) {
        this.#runAssigners(won);
      }
      if (now >= this.#nextHeartbeatAt) {
        this.#nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS;
        this.#sendHeartbeats(won.term, now);
      }
    }
    const isAlone = !this.isAssigner && this.#isAssignerSilent();
    if (this.#options.controlRows.isLoaded && (isAlone || !this.#options.health.isReachable)) {
      this.#probeStore();
    }
    if (now >= this.#nextReportAt) {
      this.#nextReportAt = now + REPORT_MILLISECONDS;
      this.#report();
    }
  }

  #isAssignerSilent(): boolean {
    return performance.now() - this.#heartbeatAt > PROBE_AFTER_MILLISECONDS;
  }

  /** Finds out whether this process reaches a store that the assigner does not reach. */
  #probeStore(): void {
    const { store, logger } = this.#options;
    const now = performance.now();
    if (now < this.#nextProbeAt) {
      return;
    }
    this.#nextProbeAt = now + PROBE_MILLISECONDS;
    store.readTable(CONFIRMATION_TABLE).catch((error: unknown) => {
      logger.log('debug', 'store-probe-failed', { reason: describeError(error) });
    });
  }

  /** Gives up the duty of the assigner for good. */
  resign(): Promise<void> {
    return this.#election.resign();
  }

  #keyedServices(): readonly string[] {
    return [...this.#options.services().values()]
      .filter(({ kind }) => kind === 'keyed')
      .map(({ name }) => name);
  }

  #runAssigners(won: HeldTerm): void {
    const { store, grantClient: grants, logger, registry } = this.#options;
    for (const service of this.#keyedServices()) {
      let assigner = this.#assigners.get(service);
      if (assigner === undefined) {
        assigner = new KeyAssigner(
          {
            service,
            store,
            client: grants,
            logger,
            assignerLease: {
              isValid: () => this.#election.heldTerm === won && this.#election.hasValidLease(),
            },
            assignerRowVersion: won.rowVersion,
            previousLeaseEndsAt: () => this.#election.previousLeaseEndsAt,
            servers: () => this.#candidates(service),
            isAbsenceReliable: () => registry.isAbsenceReliable,
            traffic: () => this.#trafficOf(service).traffic(performance.now()),
            onDidWrite: (change, rowVersion) => {
              this.#tellChange(service, change, rowVersion);
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

  #tellChange(service: string, change: KeyAssignmentDelta, rowVersion: number): void {
    if (change.added.length <= MOST_RANGES_TOLD) {
      this.#options.sendToOthers({
        type: 'assignment-change',
        service,
        rowVersion,
        change: encodeDelta(change),
      });
    }
  }

  #candidates(service: string): ReadonlyMap<string, RegisteredServer> {
    const servers = [...this.#options.registry.servers.values()].filter(
      (server) => server.service === service,
    );
    const times = estimateProcessingTimes(
      servers.map(({ id }) => id),
      this.#serverTimes,
    );
    return new Map(
      servers.map(({ id, incarnation, address, phase, slots }) => {
        const milliseconds = Math.max(1, times.get(id) ?? 1);
        return [id, { id, incarnation, address, phase, requestsPerSecond: (slots * 1_000) / milliseconds }];
      }),
    );
  }

  #sendHeartbeats(term: number, now: number): void {
    const { self, roster, health, sendToOthers } = this.#options;
    sendToOthers({
      type: 'heartbeat',
      term,
      id: self.id,
      storeSilence: Math.round(health.silenceMilliseconds()),
      versions: this.#readers.versions(),
      assignments: this.owners.revisions(),
      sentAt: this.#election.clockNow(),
    });
    for (const { id } of roster.entryVms()) {
      if (id === self.id) {
        continue;
      }
      const since = Math.max(roster.heardAt(id), this.#firstHeardAt.get(id) ?? now);
      this.#firstHeardAt.set(id, this.#firstHeardAt.get(id) ?? now);
      if (now - since > GONE_MILLISECONDS && health.isReachable) {
        this.#firstHeardAt.set(id, now);
        void roster.remove(id);
      }
    }
  }

  #report(): void {
    const { self, serverTimes, send, health } = this.#options;
    const keys = this.#recentKeys;
    this.#recentKeys = {};
    const times = [...serverTimes()];
    if (this.isAssigner) {
      this.#takeReport(keys, times);
    } else if (this.#assignerAddress !== undefined) {
      send(this.#assignerAddress, {
        type: 'report',
        id: self.id,
        incarnation: self.incarnation,
        term: this.#election.highestSeenTerm,
        heartbeatSentAt: this.#heartbeatSentAt,
        storeSilence: Math.round(health.silenceMilliseconds()),
        versions: this.#readers.versions(),
        keys,
        serverTimes: Object.fromEntries(
          times.map(([id, { milliseconds, sampleCount }]) => [id, [Math.round(milliseconds), sampleCount]]),
        ),
      });
    }
  }

  #takeReport(
    keys: Readonly<Record<string, number[]>>,
    times: Iterable<readonly [string, ProcessingTimeEstimate]>,
  ): void {
    const now = performance.now();
    for (const [service, list] of Object.entries(keys)) {
      this.#trafficOf(service).record(list, now);
    }
    for (const [id, time] of times) {
      this.#serverTimes.set(id, time);
    }
  }

  #trafficOf(service: string): KeyTrafficWindow {
    const known = this.#traffic.get(service);
    if (known !== undefined) {
      return known;
    }
    const log = new KeyTrafficWindow();
    this.#traffic.set(service, log);
    return log;
  }
}

/** The fittest entry VMs first: the assigner has the most to do, and tells all others. */
function bySize(entryVms: readonly RosterEntry[]): readonly RosterEntry[] {
  return [...entryVms].sort(
    (left, right) => broadcastFitness(right) - broadcastFitness(left) || left.id.localeCompare(right.id),
  );
}
