import FakeTimers from '@sinonjs/fake-timers';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableStore, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { formatLogLine, type Logger } from '@hickoryhoist/base/common/logger.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import { CONTROL_TABLE, isAssignmentRowKey } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import { KeyedServers } from '@hickoryhoist/standIns/common/emulator/keyedServers.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { observeRowStore } from '@hickoryhoist/store/common/observedRowStore.js';
import { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import type { NeighbourResult, NeighbourTables } from '@hickoryhoist/store/common/neighbourTables.js';
import { TableWatcher, type TableWatcherOptions } from '@hickoryhoist/store/common/tableWatcher.js';
import { EntryVmRegistry } from '../../entryVmRegistry.js';
import { AssignableServers } from '../../assignableServers.js';
import { KeyOwnershipController } from '../../keyOwnershipController.js';
import { changesForNeighbour } from '../../neighbourChanges.js';
import { NeighbourSelector } from '../../neighbourSelector.js';
import type { PeerMessage } from '../../peerMessage.js';
import { ServerRegistry } from '../../serverRegistry.js';
import { ZoneEvacuations } from '../../zoneEvacuations.js';

export const SERVICE = 'catalogue';
const SERVERS_TABLE = 'servers';
/** Each row asks for the evacuation of the zone that its key names. */
export const EVACUATIONS_TABLE = 'evacuations';
const COLD_START = { warmupMilliseconds: 3_000, requestsPerSecond: 6 };
const TICK_MILLISECONDS = 50;
const CHECK_MILLISECONDS = 10;
const NEIGHBOUR_TIMEOUT_MILLISECONDS = 500;
const SAMPLE_KEYS = [0, 1, 8_191, 8_192, 20_000, 32_767, 32_768, 49_151, 49_152, 60_000, 65_535];

export interface RigEntryVm {
  readonly id: string;
  readonly controller: KeyOwnershipController;
  readonly disposables: DisposableStore;
  readonly tables: ReadonlyMap<string, TableWatcher>;
  /** False while the VM is frozen: it neither sends nor receives messages, and its timers do nothing. */
  isRunning: boolean;
}

/** Entry VMs that assign keys, with in-memory servers, an in-memory store and a fake clock. */
export class KeyOwnershipRig {
  readonly clock: FakeTimers.Clock;
  readonly store = new MemoryRowStore();
  readonly servers = new KeyedServers();
  readonly vms = new Map<string, RigEntryVm>();
  /** Keys that two servers owned at the same time. */
  readonly violations: string[] = [];
  /** Log lines of the entry VMs and steps of the test, for diagnosing a failure. */
  readonly trace: string[] = [];
  /** Selects the messages that are dropped. */
  isDropped: (message: PeerMessage, receiverId: string) => boolean = () => false;
  #incarnations = 0;
  readonly #watchesEvacuations: boolean;

  /** @param watchesEvacuations whether the entry VMs follow the table of evacuations as well. */
  constructor(watchesEvacuations = false) {
    this.#watchesEvacuations = watchesEvacuations;
    this.clock = FakeTimers.install({
      now: 1_700_000_000_000,
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
    });
  }

  announce(id: string, phase: ServerRecord['phase'] = 'ready', availabilityZone = 'zone-1'): void {
    const server = this.servers.servers.get(id) ?? this.servers.add(id);
    const record: ServerRecord = {
      id,
      incarnation: server.incarnation,
      service: SERVICE,
      address: id,
      availabilityZone,
      slots: 2,
      phase,
      warmupMilliseconds: 0,
    };
    this.store.put(SERVERS_TABLE, id, JSON.stringify(record));
  }

  evacuate(zone: string): void {
    this.store.put(EVACUATIONS_TABLE, zone, '{}');
  }

  endEvacuation(zone: string): void {
    this.store.delete(EVACUATIONS_TABLE, zone);
  }

  removeAnnouncement(id: string): void {
    this.store.delete(SERVERS_TABLE, id);
  }

  startVm(id: string): RigEntryVm {
    this.#incarnations += 1;
    const self = {
      id,
      ipAddress: id,
      incarnation: this.#incarnations.toString(),
      availabilityZone: 'zone-1',
      processorCores: 1,
      linkMegabitsPerSecond: 100,
    };
    const disposables = new DisposableStore();
    const logger: Logger = {
      log: (_level, event, fields) => {
        this.note(`${id} ${formatLogLine(event, fields ?? {})}`);
      },
    };
    const health = new StoreHealth(logger);
    const store = observeRowStore(this.store.connect(id), health);
    const selector = new NeighbourSelector(id, () => entryVmRegistry.entryVms());
    const neighbours: NeighbourTables = {
      readChanges: (table, after, attempt) => this.#readNeighbour(selector, table, after, attempt),
    };
    const decode = (_id: string, value: string): ServerRecord => JSON.parse(value) as ServerRecord;
    const watch = (
      table: string,
      options: Pick<
        TableWatcherOptions,
        'firstCopySource' | 'idlePauseMilliseconds' | 'isRelevantChange'
      > = {},
    ): TableWatcher =>
      disposables.add(
        new TableWatcher(
          store,
          {
            table,
            waitMilliseconds: () =>
              table === CONTROL_TABLE ? 5_000 : controller.confirmationWaitMilliseconds(table),
            deferralMilliseconds: () => controller.deferralMilliseconds(table),
            pauseMilliseconds: 10,
            maxLagMilliseconds: () => selector.maxLagMilliseconds,
            neighbours,
            ...options,
          },
          logger,
        ),
      );
    const controlRows = watch(CONTROL_TABLE, {
      isRelevantChange: (_before, { key }) => !isAssignmentRowKey(key),
      idlePauseMilliseconds: 500,
    });
    const serverRows = watch(SERVERS_TABLE, {
      firstCopySource: () =>
        controller.isReader ? 'store' : selector.firstCopySource(entryVmRegistry.isSettled),
      isRelevantChange: (before, after) => serverRegistry.isNewAnnouncement(before, after),
      idlePauseMilliseconds: Number.POSITIVE_INFINITY,
    });
    const tables = new Map([
      [CONTROL_TABLE, controlRows],
      [SERVERS_TABLE, serverRows],
    ]);
    const serverRegistry: ServerRegistry = new ServerRegistry(
      decode,
      () => controller.storeReachableMilliseconds(),
      logger,
    );
    const evacuations = new ZoneEvacuations(
      (key) => key,
      () => true,
      logger,
    );
    if (this.#watchesEvacuations) {
      const evacuationRows = watch(EVACUATIONS_TABLE);
      tables.set(EVACUATIONS_TABLE, evacuationRows);
      disposables.add(
        evacuationRows.onDidChange(() => {
          evacuations.update(evacuationRows.rows);
        }),
      );
    }
    const services = (): ReadonlyMap<string, RoutedService> =>
      new Map([[SERVICE, { name: SERVICE, kind: 'keyed', connectionsPerServer: 50, coldStart: COLD_START }]]);
    const entryVmRegistry: EntryVmRegistry = new EntryVmRegistry(self, store, controlRows, logger);
    const controller: KeyOwnershipController = disposables.add(
      new KeyOwnershipController({
        self,
        isFirstStart: true,
        store,
        grantClient: this.servers.clientFor(id),
        controlRows,
        tables,
        health,
        serverRegistry,
        assignableServers: new AssignableServers(serverRegistry, evacuations, services),
        entryVmRegistry,
        services,
        processingTimes: () => new Map(),
        send: (to, message) => {
          this.#send(vm, self.incarnation, to, message);
        },
        sendToOthers: (message) => {
          entryVmRegistry.otherAddresses().forEach((to) => {
            this.#send(vm, self.incarnation, to, message);
          });
        },
        logger,
      }),
    );
    const vm: RigEntryVm = { id, controller, disposables, tables, isRunning: true };
    this.vms.set(id, vm);
    this.#entryVmRegistries.set(id, entryVmRegistry);
    this.#serverRegistries.set(id, serverRegistry);
    this.#selectors.set(id, selector);
    const timer = setInterval(() => {
      if (vm.isRunning) {
        serverRegistry.update(serverRows.rows);
        evacuations.tick(performance.now());
        entryVmRegistry.tick();
        controller.tick();
      }
    }, TICK_MILLISECONDS);
    disposables.add(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
    return vm;
  }

  note(text: string): void {
    this.trace.push(`${Math.round(performance.now()).toString()} ${text}`);
  }

  /** Stops an entry VM without a shutdown. */
  kill(id: string): void {
    const vm = this.vms.get(id);
    if (vm !== undefined) {
      vm.isRunning = false;
      vm.disposables.dispose();
      this.vms.delete(id);
    }
  }

  get assigners(): readonly string[] {
    return [...this.vms.values()].filter(({ controller }) => controller.isAssigner).map(({ id }) => id);
  }

  /** Advances the clock in small steps, and checks after each that no key has two owners. */
  async advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += CHECK_MILLISECONDS) {
      await this.clock.tickAsync(CHECK_MILLISECONDS);
      for (const key of SAMPLE_KEYS) {
        const holders = this.servers.holders(key);
        if (holders.length > 1) {
          this.note(`VIOLATION key ${key.toString()} at ${holders.join(' and ')}`);
          this.violations.push(`key ${key.toString()} at ${holders.join(' and ')}`);
        }
      }
    }
  }

  /** Sampled keys that no server owns. */
  unownedKeys(): readonly number[] {
    return SAMPLE_KEYS.filter((key) => this.servers.holders(key).length === 0);
  }

  dispose(): void {
    for (const id of [...this.vms.keys()]) {
      this.kill(id);
    }
    this.clock.uninstall();
  }

  readonly #entryVmRegistries = new Map<string, EntryVmRegistry>();

  /** Phase of a server as known to an entry VM; undefined if it does not know the server. */
  phaseOf(vm: string, server: string): ServerRecord['phase'] | undefined {
    return this.#serverRegistries.get(vm)?.servers.get(server)?.phase;
  }

  readonly #serverRegistries = new Map<string, ServerRegistry>();

  /** Entry VMs that an entry VM reads missing changes from, in order. */
  neighboursOf(id: string): readonly string[] {
    const ids: string[] = [];
    let next = this.#selectors.get(id)?.select(0);
    while (next !== undefined) {
      ids.push(next.id);
      next = this.#selectors.get(id)?.select(ids.length);
    }
    return ids;
  }

  readonly #selectors = new Map<string, NeighbourSelector>();

  async #readNeighbour(
    selector: NeighbourSelector,
    table: string,
    after: number,
    attempt: number,
  ): Promise<NeighbourResult> {
    const record = selector.select(attempt);
    if (record === undefined) {
      return { kind: 'use-store' };
    }
    await delay(1);
    const neighbour = this.vms.get(record.id);
    const watcher = neighbour?.tables.get(table);
    if (watcher === undefined || neighbour?.isRunning !== true) {
      // Nobody refuses the connection to a machine without power.
      await delay(NEIGHBOUR_TIMEOUT_MILLISECONDS);
      return { kind: 'unavailable' };
    }
    const additionalRows = table === CONTROL_TABLE ? neighbour.controller.owners.assignmentRows() : [];
    return changesForNeighbour(watcher, after, additionalRows) ?? { kind: 'incomplete' };
  }

  #send(sender: RigEntryVm, incarnation: string, to: string, message: PeerMessage): void {
    if (this.isDropped(message, to)) {
      return;
    }
    setTimeout(() => {
      const receiver = this.vms.get(to);
      if (receiver?.isRunning === true && sender.isRunning) {
        this.#entryVmRegistries.get(to)?.recordMessage(sender.id, incarnation);
        receiver.controller.receive(message);
      }
    }, 1);
  }
}

/** Runs a scenario with three entry VMs and four servers that own all keys. */
export async function withKeyOwnershipRig(
  scenario: (rig: KeyOwnershipRig) => Promise<void>,
  { watchesEvacuations = false } = {},
): Promise<void> {
  const rig = new KeyOwnershipRig(watchesEvacuations);
  try {
    for (const id of ['server-1', 'server-2', 'server-3', 'server-4']) {
      rig.announce(id);
    }
    for (const id of ['vm-1', 'vm-2', 'vm-3']) {
      rig.startVm(id);
    }
    await rig.advance(5_000);
    await scenario(rig);
  } finally {
    rig.dispose();
  }
}
