import { randomUUID } from 'node:crypto';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { MemoryBudget } from '@hickoryhoist/connection/common/memoryBudget.js';
import type { CallerRequest, RequestOutcome } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { coldStartBudget } from '@hickoryhoist/dispatch/common/coldStartLimit.js';
import { CrashingRequestDetector } from '@hickoryhoist/dispatch/common/crashingRequestDetector.js';
import { RequestDispatcher } from '@hickoryhoist/dispatch/common/requestDispatcher.js';
import { ResponseSizes } from '@hickoryhoist/dispatch/common/responseSizes.js';
import { RetryBudget } from '@hickoryhoist/dispatch/common/retryBudget.js';
import { ServerConnectionPool } from '@hickoryhoist/dispatch/node/serverConnectionPool.js';
import { CONTROL_TABLE, isAssignmentRowKey } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import { CONFIGURATION_PATH } from '@hickoryhoist/routing/common/configurationInForce.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import { observeRowStore } from '@hickoryhoist/store/common/observedRowStore.js';
import { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import { TableWatcher, type TableWatcherOptions } from '@hickoryhoist/store/common/tableWatcher.js';
import { AssignableServers } from '../common/assignableServers.js';
import { AvailableServers } from '../common/availableServers.js';
import { ByteAccount } from '../common/byteAccount.js';
import { CoordinatedSlots } from '../common/coordinatedSlots.js';
import { CrashEvidenceExchange } from '../common/crashEvidenceExchange.js';
import {
  CountedServerTransport,
  countGrants,
  type ServerLocation,
} from '../common/countedServerTransport.js';
import { CrossingCost } from '../common/crossingCost.js';
import { EntryVmMetrics } from '../common/entryVmMetrics.js';
import { EntryVmRoutingView } from '../common/entryVmRoutingView.js';
import type { EntryVmSettings } from '../common/entryVmSettings.js';
import { EntryVmRegistry } from '../common/entryVmRegistry.js';
import { countServersWithKeys } from '../common/evacuationProgress.js';
import { KeyOwnershipController } from '../common/keyOwnershipController.js';
import { NeighbourSelector } from '../common/neighbourSelector.js';
import { messageFormatFor, type PeerMessage } from '../common/peerMessage.js';
import type { PlatformBinding } from '../common/platformBinding.js';
import { ServerRegistry } from '../common/serverRegistry.js';
import { storeCallCause } from '../common/storeCallCause.js';
import { ZoneEvacuations } from '../common/zoneEvacuations.js';
import { CallerServer } from './callerServer.js';
import { CompletionRecorder } from './completionRecorder.js';
import { renderConfigurationInForce } from './configurationPage.js';
import { shutDownGracefully } from './gracefulShutdown.js';
import { PeerSocket } from './peerSocket.js';
import { TableExchange } from './tableExchange.js';
import { TextServer } from './textServer.js';

/**
 * Duration of a long poll of the control table's feed. A dead connection is noticed only when the poll ends, or by the
 * versions that other entry VMs report.
 */
const CONTROL_WAIT_MILLISECONDS = 5_000;
/** Pause after a change in the table of servers, so that announcements in quick succession share a call. */
const SERVERS_PAUSE_MILLISECONDS = 250;
const CONTROL_PAUSE_MILLISECONDS = 100;
/**
 * Pause after a write of assignments. The assigner sends them by datagram; a new assigner, whose first change is too
 * large for one, is elected later than this after the last write of the previous one.
 */
const ASSIGNMENT_PAUSE_MILLISECONDS = 500;
const CONFIGURATION_PAUSE_MILLISECONDS = 50;
const TICK_MILLISECONDS = 50;
/** Interval at which the bytes to and from other availability zones are logged. */
const BYTES_LOG_INTERVAL_MILLISECONDS = 10_000;
/** Wires the components of an entry VM together and runs its servers and timers. */
export class EntryVm extends DisposableBase {
  readonly #settings: EntryVmSettings;
  readonly #binding: PlatformBinding;
  readonly #logger: Logger;
  /** Served on the metrics address. */
  readonly metrics = new EntryVmMetrics();
  readonly #health: StoreHealth;
  readonly #configurationRows: TableWatcher;
  readonly #serverRows: TableWatcher;
  readonly #controlRows: TableWatcher;
  readonly #tables: ReadonlyMap<string, TableWatcher>;
  readonly #tableExchange: TableExchange;
  readonly #serverRegistry: ServerRegistry;
  readonly #evacuations: ZoneEvacuations;
  readonly #availableServers: AvailableServers;
  readonly #entryVmRegistry: EntryVmRegistry;
  readonly #slots: CoordinatedSlots;
  readonly #peerSocket: PeerSocket;
  readonly #keyOwnership: KeyOwnershipController;
  readonly #callerServer: CallerServer;
  readonly #connections: ServerConnectionPool;
  readonly #crashEvidence: CrashEvidenceExchange;
  readonly #bytes: ByteAccount;
  readonly #responseSizes = new ResponseSizes();
  readonly #crossingCost = new CrossingCost(this.#responseSizes, () => this.#entryVmRegistry.entryVms());
  readonly #readinessServer: TextServer;
  readonly #metricsServer: TextServer;
  #routes: RouteTable | undefined;
  /** Text of the configuration in force, which may be older than the row in the store. */
  #configurationDocument: string | undefined;
  #isStopping = false;
  #tickDueAt = performance.now() + TICK_MILLISECONDS;

  constructor(settings: EntryVmSettings, binding: PlatformBinding, logger: Logger) {
    super();
    this.#settings = settings;
    this.#binding = binding;
    this.#logger = logger;
    const { id, ipAddress, availabilityZone, processorCores, linkMegabitsPerSecond } = settings;
    const incarnation = randomUUID().slice(0, 8);
    this.#bytes = new ByteAccount(availabilityZone);
    const locate = (serverId: string): ServerLocation | undefined => {
      const server = this.#serverRegistry.servers.get(serverId);
      return (
        server && {
          availabilityZone: server.availabilityZone,
          isKeyed: this.#services().get(server.service)?.kind === 'keyed',
        }
      );
    };
    const self = { id, ipAddress, availabilityZone, processorCores, linkMegabitsPerSecond, incarnation };
    this.#health = new StoreHealth(logger);
    const store = observeRowStore(binding.store, this.#health, (subject, outcome) => {
      const cause = storeCallCause(subject, binding);
      this.metrics.count('hickoryhoist_store_calls_total', { kind: subject.kind, cause, outcome });
    });
    const selector = new NeighbourSelector(id, () => this.#entryVmRegistry.entryVms());
    this.#tableExchange = this.register(
      new TableExchange({
        tables: () => this.#tables,
        additionalRows: (table) =>
          table === CONTROL_TABLE ? this.#keyOwnership.owners.assignmentRows() : [],
        selector,
        port: settings.peerPort,
        countRead: ({ availabilityZone: zone }, bytes) => {
          this.#bytes.add('table-copy', zone, bytes);
        },
        logger,
      }),
    );
    const watch = (
      table: string,
      pauseMilliseconds: number,
      options: Pick<
        TableWatcherOptions,
        'isRelevantChange' | 'idlePauseMilliseconds' | 'firstCopySource'
      > = {},
    ): TableWatcher =>
      this.register(
        new TableWatcher(
          store,
          {
            table,
            waitMilliseconds: () =>
              table === CONTROL_TABLE
                ? CONTROL_WAIT_MILLISECONDS
                : this.#keyOwnership.confirmationWaitMilliseconds(table),
            deferralMilliseconds: () => this.#keyOwnership.deferralMilliseconds(table),
            pauseMilliseconds,
            ...options,
            maxLagMilliseconds: () => selector.maxLagMilliseconds,
            neighbours: this.#tableExchange,
          },
          logger,
        ),
      );
    this.#configurationRows = watch(binding.configurationTable, CONFIGURATION_PAUSE_MILLISECONDS);
    this.#serverRows = watch(binding.serversTable, SERVERS_PAUSE_MILLISECONDS, {
      isRelevantChange: (before, after) => this.#serverRegistry.isNewAnnouncement(before, after),
      firstCopySource: () =>
        this.#keyOwnership.isReader ? 'store' : selector.firstCopySource(this.#entryVmRegistry.isSettled),
    });
    this.#controlRows = watch(CONTROL_TABLE, CONTROL_PAUSE_MILLISECONDS, {
      isRelevantChange: (_before, { key }) => !isAssignmentRowKey(key),
      idlePauseMilliseconds: ASSIGNMENT_PAUSE_MILLISECONDS,
    });
    this.#tables = new Map([
      [binding.serversTable, this.#serverRows],
      [binding.configurationTable, this.#configurationRows],
      [CONTROL_TABLE, this.#controlRows],
    ]);
    this.#serverRegistry = new ServerRegistry(
      (id, value) => binding.decodeServer(id, value),
      () => this.#keyOwnership.storeReachableMilliseconds(),
      logger,
    );
    this.#evacuations = new ZoneEvacuations(
      (key, value) => binding.decodeZoneEvacuation(key, value),
      (zone) =>
        [...this.#serverRegistry.servers.values(), ...this.#entryVmRegistry.entryVms()].some(
          ({ availabilityZone }) => availabilityZone === zone,
        ),
      logger,
    );
    this.#availableServers = new AvailableServers(this.#serverRegistry, this.#evacuations, () =>
      this.#services(),
    );
    this.#peerSocket = this.register(
      new PeerSocket(
        { ...self, messageFormat: messageFormatFor(linkMegabitsPerSecond) },
        settings.peerPort,
        logger,
        (otherAddress, kind, bytes) => {
          this.#bytes.add(kind, this.#entryVmRegistry.availabilityZoneAt(otherAddress), bytes);
        },
      ),
    );
    this.#entryVmRegistry = new EntryVmRegistry(self, store, this.#controlRows, logger);
    this.#slots = this.register(
      new CoordinatedSlots({
        self,
        incarnation: self.incarnation,
        entryVms: () => this.#entryVmRegistry.entryVms(),
        send: (ipAddress, message) => {
          this.#peerSocket.send(ipAddress, message);
        },
        sendWithDuplicate: (ipAddress, message) => {
          this.#peerSocket.sendWithDuplicate(ipAddress, message);
        },
        logger,
      }),
    );
    const sendToOthers = this.#sendToOthers.bind(this);
    const crashDetector = new CrashingRequestDetector();
    this.#crashEvidence = new CrashEvidenceExchange({
      detector: crashDetector,
      sendToOthers,
      sendWithDuplicate: (ipAddress, message) => {
        this.#peerSocket.sendWithDuplicate(ipAddress, message);
      },
      logger,
    });
    this.#keyOwnership = this.register(
      new KeyOwnershipController({
        self,
        store,
        grantClient: countGrants(binding.grantClient, this.#bytes, locate),
        controlRows: this.#controlRows,
        tables: this.#tables,
        health: this.#health,
        isFirstStart: settings.isFirstStart ?? false,
        serverRegistry: this.#serverRegistry,
        assignableServers: new AssignableServers(this.#serverRegistry, this.#evacuations, () =>
          this.#services(),
        ),
        entryVmRegistry: this.#entryVmRegistry,
        services: () => this.#services(),
        processingTimes: () => this.#slots.processingTimes(),
        send: (ipAddress, message) => {
          this.#peerSocket.send(ipAddress, message);
        },
        sendToOthers,
        logger,
      }),
    );
    this.#connections = this.register(
      new ServerConnectionPool(binding.serverProtocol, settings.responseLimits),
    );
    const dispatcher = new RequestDispatcher(
      settings.availabilityZone,
      this.#slots,
      new CountedServerTransport(this.#connections, this.#bytes, locate),
      new EntryVmRoutingView(
        this.#serverRegistry,
        this.#availableServers,
        this.#keyOwnership,
        this.#entryVmRegistry,
        () => this.#services(),
        sendToOthers,
        logger,
      ),
      new RetryBudget(settings.retryBudget, () => this.#entryVmRegistry.entryVms().length),
      crashDetector,
      logger,
    );
    const memory = new MemoryBudget(settings.maxHeldBodyBytes);
    this.metrics.gauge('hickoryhoist_held_body_bytes', () => memory.usedBytes);
    this.metrics.gauge('hickoryhoist_held_body_bytes_limit', () => memory.maxBytes);
    const recorder = new CompletionRecorder(this.metrics, this.#keyOwnership.owners, logger);
    this.#callerServer = this.register(
      new CallerServer({
        protocol: binding.callerProtocol,
        routes: () => this.#routes,
        dispatch: (request) => this.#dispatch(dispatcher, request),
        onDidComplete: (completed) => {
          recorder.record(completed);
        },
        memory,
        logger,
      }),
    );
    this.#readinessServer = this.register(
      new TextServer((path) =>
        path === binding.callerProtocol.readinessPath
          ? { status: this.isReady ? 200 : 503, text: '' }
          : undefined,
      ),
    );
    this.#metricsServer = this.register(
      new TextServer((path) =>
        path === '/metrics'
          ? { status: 200, text: this.#renderMetrics() }
          : path === CONFIGURATION_PATH
            ? renderConfigurationInForce(
                this.#configurationDocument,
                this.#serverRows.isLoaded ? this.#serverRegistry.servers.values() : undefined,
              )
            : undefined,
      ),
    );
    this.#connectComponents();
  }

  /** Whether the load balancer should send requests to this entry VM. */
  get isReady(): boolean {
    return (
      !this.#isStopping &&
      this.#routes !== undefined &&
      this.#serverRows.isLoaded &&
      this.#keyOwnership.isReady
    );
  }

  /** @throws ListenError */
  async start(): Promise<void> {
    const { callerAddress, readinessAddress, metricsAddress, ipAddress, id, availabilityZone } =
      this.#settings;
    await this.#peerSocket.listen(ipAddress);
    await this.#tableExchange.listen(ipAddress);
    await this.#callerServer.listen(callerAddress);
    await this.#readinessServer.listen(readinessAddress);
    await this.#metricsServer.listen(metricsAddress);
    this.#logger.log('info', 'started', { id, availabilityZone, callerAddress, readinessAddress });
  }

  /** Shuts down gracefully: gives up its roles, completes the requests in flight and closes all ports. */
  async stop(): Promise<void> {
    if (this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    await shutDownGracefully({
      callerServer: this.#callerServer,
      graceMilliseconds: this.#settings.stopGraceMilliseconds,
      giveUpRoles: async () => {
        this.#slots.leave();
        await Promise.all([this.#keyOwnership.resign(), this.#entryVmRegistry.leave()]);
      },
      logger: this.#logger,
    });
    this.dispose();
  }

  #connectComponents(): void {
    this.register(
      this.#health.onDidBecomeReachable(() => {
        // Long polls that began before the outage may never return.
        this.#tables.forEach((table) => {
          table.restart();
        });
      }),
    );
    this.register(
      this.#configurationRows.onDidChange(() => {
        this.#applyConfiguration();
        this.#evacuations.update(this.#configurationRows.rows);
      }),
    );
    this.register(
      this.#serverRows.onDidChange(() => {
        this.#serverRegistry.update(this.#serverRows.rows);
      }),
    );
    this.register(
      this.#serverRegistry.onDidChange(() => {
        this.#updateSlotServers();
      }),
    );
    this.register(
      this.#evacuations.onDidChange(() => {
        this.#updateSlotServers();
      }),
    );
    this.register(
      this.#peerSocket.onDidReceive(({ from, incarnation, message }) => {
        const isNewcomer = this.#entryVmRegistry.recordMessage(from, incarnation);
        const ipAddress = this.#entryVmRegistry.ipAddressOf(from);
        if (isNewcomer && ipAddress !== undefined) {
          this.#crashEvidence.welcome(ipAddress);
        }
        if (ipAddress !== undefined && !this.#slots.receive(ipAddress, message)) {
          this.#keyOwnership.receive(message);
        }
        this.#crashEvidence.receive(message);
      }),
    );
    this.register(
      this.#slots.onDidChangePace(({ serverId: server, reason, ...change }) => {
        this.metrics.count('hickoryhoist_server_pace_changes_total', { reason });
        this.#logger.log('info', 'server-pace-changed', { server, reason, ...change });
      }),
    );
    const timer = setInterval(() => {
      this.#tick();
    }, TICK_MILLISECONDS);
    const bytesTimer = setInterval(() => {
      this.#logger.log('info', 'bytes-between-zones', this.#bytes.otherZoneTotals());
    }, BYTES_LOG_INTERVAL_MILLISECONDS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
        clearInterval(bytesTimer);
      }),
    );
    this.#registerGauges();
  }

  #registerGauges(): void {
    this.metrics.gauge('hickoryhoist_store_reachable', () => Number(this.#health.isReachable));
    this.metrics.gauge('hickoryhoist_requests_in_flight', () => this.#callerServer.inFlight);
    this.metrics.gauge('hickoryhoist_slots_waiting', () => this.#slots.waiting);
    this.metrics.gauge('hickoryhoist_server_connections_opened', () => this.#connections.openedCount);
    this.metrics.gauge(
      'hickoryhoist_configuration_revision',
      () => this.#routes?.configuration.revision ?? 0,
    );
    this.metrics.gaugeByLabel('hickoryhoist_evacuating_servers_with_keys', 'zone', () =>
      countServersWithKeys(this.#evacuations, this.#serverRegistry, this.#keyOwnership.owners),
    );
    this.metrics.gauge('hickoryhoist_is_assigner', () => Number(this.#keyOwnership.isAssigner));
  }

  #renderMetrics(): string {
    for (const { kind, relation, bytes } of this.#bytes.totals()) {
      this.metrics.setCounter('hickoryhoist_bytes_total', { kind, zone: relation }, bytes);
    }
    return this.metrics.render();
  }

  #sendToOthers(message: PeerMessage): void {
    this.#peerSocket.sendToAll(this.#entryVmRegistry.otherAddresses(), message);
  }

  #tick(): void {
    const now = performance.now();
    const lateness = Math.max(0, now - this.#tickDueAt);
    this.#tickDueAt = now + TICK_MILLISECONDS;
    this.metrics.recordMilliseconds('hickoryhoist_event_loop_delay_milliseconds', {}, lateness);
    this.#crashEvidence.tick();
    if (this.#serverRegistry.retainsAbsentServers && this.#serverRegistry.isAbsenceReliable) {
      this.#serverRegistry.update(this.#serverRows.rows);
    }
    this.#serverRegistry.tick();
    this.#evacuations.tick(now);
    this.#entryVmRegistry.tick();
    this.#keyOwnership.tick();
  }

  #applyConfiguration(): void {
    const row = this.#configurationRows.rows.get(this.#binding.configurationKey);
    if (row === undefined) {
      return;
    }
    try {
      const configuration = this.#binding.decodeConfiguration(row.value);
      const current = this.#routes?.configuration.revision ?? -1;
      if (configuration.revision <= current) {
        return;
      }
      this.#routes = new RouteTable(configuration);
      this.#configurationDocument = row.value;
      this.#callerServer.setLimits(configuration.limits);
      this.#logger.log('info', 'configuration-applied', {
        revision: configuration.revision,
        before: current,
        routes: configuration.routes.length,
        source: this.#configurationRows.lastSource,
        tableVersion: this.#configurationRows.version,
      });
      this.#updateSlotServers();
    } catch (error) {
      this.#logger.log('error', 'configuration-refused', { reason: describeError(error) });
    }
  }

  /** Passes the servers of each service that accept requests to the slot schedulers. */
  #updateSlotServers(): void {
    for (const [service, { coldStart }] of this.#services()) {
      const limits = coldStart && coldStartBudget(coldStart.requestsPerSecond, this.#settings.coldStartBound);
      const servers = this.#availableServers.ofService(service).map((server) => ({
        ...server,
        warmupMilliseconds: this.#availableServers.warmupMilliseconds(server),
        coldStart: limits,
      }));
      this.#slots.setServers(service, servers);
    }
    for (const { phase, address } of this.#serverRegistry.servers.values()) {
      if (phase === 'leaving') {
        this.#connections.closeIdle(address);
      }
    }
  }

  #services(): ReadonlyMap<string, RoutedService> {
    return this.#routes?.configuration.services ?? new Map<string, RoutedService>();
  }

  async #dispatch(dispatcher: RequestDispatcher, request: CallerRequest): Promise<RequestOutcome> {
    if (request.isKeyed && request.key !== undefined) {
      this.#keyOwnership.recordRequest(request.service, request.key);
    }
    const responseBytes = this.#crossingCost.responseBytes(request);
    const outcome = await dispatcher.dispatch({ ...request, responseBytes });
    if (outcome.kind === 'answered') {
      this.#responseSizes.record(request.route.name, outcome.body.length);
    }
    return outcome;
  }
}
