import { randomUUID } from 'node:crypto';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { CallerRequest, RequestOutcome } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { CrashingRequestDetector } from '@hickoryhoist/dispatch/common/crashingRequestDetector.js';
import { RequestDispatcher } from '@hickoryhoist/dispatch/common/requestDispatcher.js';
import { RetryBudget } from '@hickoryhoist/dispatch/common/retryBudget.js';
import { ServerConnectionPool } from '@hickoryhoist/dispatch/node/serverConnectionPool.js';
import { CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import { observeRowStore } from '@hickoryhoist/store/common/observedRowStore.js';
import { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { CoordinatedSlots } from '../common/coordinatedSlots.js';
import { EntryVmMetrics } from '../common/entryVmMetrics.js';
import { EntryVmKnowledge } from '../common/entryVmKnowledge.js';
import type { EntryVmSettings } from '../common/entryVmSettings.js';
import { EntryVmRoster } from '../common/entryVmRoster.js';
import { KeyControl } from '../common/keyControl.js';
import type { PlatformBinding } from '../common/platformBinding.js';
import { ServerRegistry } from '../common/serverRegistry.js';
import { CallerServer, type EndedRequest } from './callerServer.js';
import { DatagramPeers } from './datagramPeers.js';
import { TextServer } from './textServer.js';

/**
 * Longest wait of one call for changes, in milliseconds. A connection that went silent is noticed after it, so it
 * is short; only a few entry VMs wait at a time.
 */
const FEED_WAIT_MILLISECONDS = 2_500;
/** Pause after a change of servers, so that announcements in quick succession share a call, in milliseconds. */
const SERVERS_PAUSE_MILLISECONDS = 250;
/** The same for the control table; who owns a key is told by datagram besides. */
const CONTROL_PAUSE_MILLISECONDS = 100;
const CONFIGURATION_PAUSE_MILLISECONDS = 50;
const TICK_MILLISECONDS = 50;
/** Time after the order to stop for which the port stays open: the balancer notices within 2 to 3 s. */
const BALANCER_MILLISECONDS = 3_300;
/** Time before the forced end at which the process ends by itself, in milliseconds. */
const STOP_RESERVE_MILLISECONDS = 300;
const STOP_POLL_MILLISECONDS = 50;
/** Time before the end of the process by which the last answer is given, in milliseconds: two polls. */
const LAST_ANSWER_MILLISECONDS = 2 * STOP_POLL_MILLISECONDS;

/** An entry VM on a platform: its ports and tasks, put together. */
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
  readonly #registry: ServerRegistry;
  readonly #roster: EntryVmRoster;
  readonly #slots: CoordinatedSlots;
  readonly #peers: DatagramPeers;
  readonly #keys: KeyControl;
  readonly #callers: CallerServer;
  readonly #connections: ServerConnectionPool;
  readonly #readiness: TextServer;
  readonly #metricsServer: TextServer;
  #routes: RouteTable | undefined;
  #isStopping = false;
  #tickDueAt = performance.now() + TICK_MILLISECONDS;

  constructor(settings: EntryVmSettings, binding: PlatformBinding, logger: Logger) {
    super();
    this.#settings = settings;
    this.#binding = binding;
    this.#logger = logger;
    const { id, ipAddress, processorCores, linkMegabitsPerSecond } = settings;
    const incarnation = randomUUID().slice(0, 8);
    const self = { id, ipAddress, processorCores, linkMegabitsPerSecond, incarnation };
    this.#health = new StoreHealth(logger);
    const store = observeRowStore(binding.store, this.#health, (kind, outcome) => {
      this.metrics.count('hickoryhoist_store_calls_total', { kind, outcome });
    });
    const watch = (table: string, pauseMilliseconds: number): TableWatcher =>
      this.register(
        new TableWatcher(
          store,
          { table, waitMilliseconds: FEED_WAIT_MILLISECONDS, pauseMilliseconds },
          logger,
        ),
      );
    this.#configurationRows = watch(binding.configurationTable, CONFIGURATION_PAUSE_MILLISECONDS);
    this.#serverRows = watch(binding.serversTable, SERVERS_PAUSE_MILLISECONDS);
    this.#controlRows = watch(CONTROL_TABLE, CONTROL_PAUSE_MILLISECONDS);
    this.#tables = new Map([
      [binding.configurationTable, this.#configurationRows],
      [binding.serversTable, this.#serverRows],
      [CONTROL_TABLE, this.#controlRows],
    ]);
    this.#registry = new ServerRegistry(
      (id, value) => binding.decodeServer(id, value),
      () => this.#keys.storeReachableMilliseconds(),
      logger,
    );
    this.#peers = this.register(new DatagramPeers(self, settings.peerPort, logger));
    this.#roster = new EntryVmRoster(self, store, this.#controlRows, logger);
    this.#slots = this.register(
      new CoordinatedSlots({
        self,
        incarnation: self.incarnation,
        entryVms: () => this.#roster.entryVms(),
        send: (ipAddress, message) => {
          this.#peers.send(ipAddress, message);
        },
        sendTwice: (ipAddress, message) => {
          this.#peers.sendTwice(ipAddress, message);
        },
        logger,
      }),
    );
    this.#keys = this.register(
      new KeyControl({
        self,
        store,
        grantClient: binding.grantClient,
        controlRows: this.#controlRows,
        tables: this.#tables,
        health: this.#health,
        registry: this.#registry,
        roster: this.#roster,
        services: () => this.#services(),
        serverTimes: () => this.#slots.serverTimes(),
        send: (ipAddress, message) => {
          this.#peers.send(ipAddress, message);
        },
        sendToOthers: (message) => {
          this.#peers.sendToAll(this.#roster.otherAddresses(), message);
        },
        logger,
      }),
    );
    this.#connections = this.register(new ServerConnectionPool(binding.serverProtocol));
    const dispatcher = new RequestDispatcher(
      settings.availabilityZone,
      this.#slots,
      this.#connections,
      new EntryVmKnowledge(this.#registry, this.#keys, this.#roster, () => this.#services()),
      new RetryBudget(settings.retryBudget, () => this.#roster.entryVms().length),
      new CrashingRequestDetector(),
      logger,
    );
    this.#callers = this.register(
      new CallerServer({
        dialect: binding.callerProtocol,
        routes: () => this.#routes,
        dispatch: (request) => this.#dispatch(dispatcher, request),
        onDidEnd: (ended) => {
          this.#recordEnd(ended);
        },
        logger,
      }),
    );
    this.#readiness = this.register(
      new TextServer((path) =>
        path === binding.callerProtocol.readinessPath
          ? { status: this.isReady ? 200 : 503, text: '' }
          : undefined,
      ),
    );
    this.#metricsServer = this.register(
      new TextServer((path) =>
        path === '/metrics' ? { status: 200, text: this.metrics.page() } : undefined,
      ),
    );
    this.#connectTasks();
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return !this.#isStopping && this.#routes !== undefined && this.#serverRows.isLoaded && this.#keys.isReady;
  }

  /** Opens all ports. @throws ListenError */
  async start(): Promise<void> {
    const { callerAddress, readinessAddress, metricsAddress, ipAddress, id, availabilityZone } =
      this.#settings;
    await this.#peers.listen(ipAddress);
    await this.#callers.listen(callerAddress);
    await this.#readiness.listen(readinessAddress);
    await this.#metricsServer.listen(metricsAddress);
    this.#logger.log('info', 'started', { id, availabilityZone, callerAddress, readinessAddress });
  }

  /** Planned stop: gives up duties, answers what is in flight, and closes the ports. */
  async stop(): Promise<void> {
    if (this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    const startedAt = performance.now();
    this.#logger.log('info', 'stop-begun', { inFlight: this.#callers.inFlight });
    const endsAt = startedAt + this.#settings.stopGraceMilliseconds - STOP_RESERVE_MILLISECONDS;
    this.#callers.beginStop(endsAt - LAST_ANSWER_MILLISECONDS);
    this.#slots.leave();
    // Both need the store; callers are answered meanwhile, also when it is down.
    const duties = Promise.all([this.#keys.resign(), this.#roster.leave()]);
    await delay(Math.min(BALANCER_MILLISECONDS, this.#settings.stopGraceMilliseconds / 2));
    // Callers use their open connections until these close: a busy process would never be idle otherwise.
    this.#callers.endIntake();
    await Promise.race([duties, delay(Math.max(0, endsAt - performance.now()))]);
    while (performance.now() < endsAt && this.#callers.inFlight > 0) {
      await delay(STOP_POLL_MILLISECONDS);
    }
    this.#logger.log('info', 'stopped', {
      inFlight: this.#callers.inFlight,
      milliseconds: Math.round(performance.now() - startedAt),
    });
    this.dispose();
  }

  #connectTasks(): void {
    this.register(
      this.#health.onDidBecomeReachable(() => {
        // Waits that began before the outage may never be answered.
        this.#tables.forEach((table) => {
          table.restart();
        });
      }),
    );
    this.register(
      this.#configurationRows.onDidChange(() => {
        this.#takeConfiguration();
      }),
    );
    this.register(
      this.#serverRows.onDidChange(() => {
        this.#registry.update(this.#serverRows.rows);
      }),
    );
    this.register(
      this.#registry.onDidChange(() => {
        this.#shareServers();
      }),
    );
    this.register(
      this.#peers.onDidReceive(({ from, incarnation, message }) => {
        this.#roster.recordHeard(from, incarnation);
        const ipAddress = this.#roster.ipAddressOf(from);
        if (ipAddress !== undefined && !this.#slots.receive(ipAddress, message)) {
          this.#keys.receive(message);
        }
      }),
    );
    const timer = setInterval(() => {
      this.#tick();
    }, TICK_MILLISECONDS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
    this.metrics.gauge('hickoryhoist_store_reachable', () => Number(this.#health.isReachable));
    this.metrics.gauge('hickoryhoist_requests_in_flight', () => this.#callers.inFlight);
    this.metrics.gauge('hickoryhoist_slots_waiting', () => this.#slots.waiting);
    this.metrics.gauge('hickoryhoist_server_connections_opened', () => this.#connections.openedCount);
    this.metrics.gauge(
      'hickoryhoist_configuration_revision',
      () => this.#routes?.configuration.revision ?? 0,
    );
    this.metrics.gauge('hickoryhoist_is_assigner', () => Number(this.#keys.isAssigner));
  }

  #tick(): void {
    const now = performance.now();
    const lateness = Math.max(0, now - this.#tickDueAt);
    this.#tickDueAt = now + TICK_MILLISECONDS;
    this.metrics.recordMilliseconds('hickoryhoist_event_loop_delay_milliseconds', {}, lateness);
    if (this.#registry.keepsMissing && this.#registry.isAbsenceReliable) {
      this.#registry.update(this.#serverRows.rows);
    }
    this.#roster.tick();
    this.#keys.tick();
  }

  #takeConfiguration(): void {
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
      this.#callers.setLimits(configuration.limits);
      this.#logger.log('info', 'configuration-taken', {
        revision: configuration.revision,
        before: current,
        routes: configuration.routes.length,
      });
      this.#shareServers();
    } catch (error) {
      this.#logger.log('error', 'configuration-refused', { reason: describeError(error) });
    }
  }

  /** Gives the slot schedulers the servers of each service that may get requests. */
  #shareServers(): void {
    for (const service of this.#services().keys()) {
      const servers = [...this.#registry.servers.values()].filter(
        (server) => server.service === service && server.phase === 'ready',
      );
      this.#slots.setServers(service, servers);
    }
  }

  #services(): ReadonlyMap<string, RoutedService> {
    return this.#routes?.configuration.services ?? new Map<string, RoutedService>();
  }

  #dispatch(dispatcher: RequestDispatcher, request: CallerRequest): Promise<RequestOutcome> {
    if (request.isKeyed && request.key !== undefined) {
      this.#keys.recordRequest(request.service, request.key);
    }
    return dispatcher.dispatch(request);
  }

  #recordEnd(ended: EndedRequest): void {
    const outcome = ended.outcome?.kind ?? 'rejected';
    const reason =
      ended.outcome === undefined || ended.outcome.kind === 'answered' ? undefined : ended.outcome.reason;
    const service = ended.match?.service.name ?? '';
    const kind = ended.match?.route.kind ?? '';
    this.metrics.count('hickoryhoist_requests_total', { service, kind, outcome, reason: reason ?? '' });
    this.metrics.recordMilliseconds(
      'hickoryhoist_request_milliseconds',
      { service, outcome },
      ended.milliseconds,
    );
    this.#logger.log('info', 'request-ended', {
      request: ended.id,
      service,
      route: ended.match?.route.name,
      revision: ended.revision,
      key: ended.key,
      assignment:
        ended.key === undefined ? undefined : this.#keys.owners.assignmentOf(service)?.assignment.revision,
      server: ended.outcome?.kind === 'answered' ? ended.outcome.serverId : undefined,
      status: ended.status,
      outcome,
      reason,
      milliseconds: Math.round(ended.milliseconds),
      goal: Math.round(ended.goalMilliseconds),
    });
  }
}
