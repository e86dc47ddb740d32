import FakeTimers from '@sinonjs/fake-timers';
import { DisposableStore, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { formatLogLine, type Logger } from '@hickoryhoist/base/common/logger.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import { CONTROL_TABLE } from '@hickoryhoist/keyownership/common/assignmentStore.js';
import { KeyedServers } from '@hickoryhoist/standIns/common/emulator/keyedServers.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { observeRowStore } from '@hickoryhoist/store/common/observedRowStore.js';
import { StoreHealth } from '@hickoryhoist/store/common/storeHealth.js';
import { TableWatcher } from '@hickoryhoist/store/common/tableWatcher.js';
import { EntryVmRoster } from '../../entryVmRoster.js';
import { KeyControl } from '../../keyControl.js';
import type { PeerMessage } from '../../peerMessage.js';
import { ServerRegistry } from '../../serverRegistry.js';

export const SERVICE = 'catalogue';
const SERVERS_TABLE = 'servers';
const TICK_MILLISECONDS = 50;
const CHECK_MILLISECONDS = 10;
const SAMPLE_KEYS = [0, 1, 8_191, 8_192, 20_000, 32_767, 32_768, 49_151, 49_152, 60_000, 65_535];

/** One entry VM of the rig. */
export interface RigVm {
  readonly id: string;
  readonly control: KeyControl;
  readonly tasks: DisposableStore;
  /** A VM without power neither sends nor receives, and does nothing. */
  isRunning: boolean;
}

/** Entry VMs that decide on keys, against servers and a store in memory, on a paused clock. */
export class KeyControlRig {
  readonly clock: FakeTimers.Clock;
  readonly store = new MemoryRowStore();
  readonly servers = new KeyedServers();
  readonly vms = new Map<string, RigVm>();
  /** Keys that two servers held at the same moment. */
  readonly violations: string[] = [];
  /** What entry VMs have logged and what the test did, for tracing a failure. */
  readonly trace: string[] = [];
  /** Messages that get lost. */
  loses: (message: PeerMessage) => boolean = () => false;
  #incarnations = 0;

  constructor() {
    this.clock = FakeTimers.install({
      now: 1_700_000_000_000,
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
    });
  }

  announce(id: string, phase: ServerRecord['phase'] = 'ready'): void {
    const server = this.servers.servers.get(id) ?? this.servers.add(id);
    const record: ServerRecord = {
      id,
      incarnation: server.incarnation,
      service: SERVICE,
      address: id,
      availabilityZone: 'zone-1',
      slots: 2,
      phase,
      warmupMilliseconds: 0,
    };
    this.store.put(SERVERS_TABLE, id, JSON.stringify(record));
  }

  withdraw(id: string): void {
    this.store.delete(SERVERS_TABLE, id);
  }

  startVm(id: string): RigVm {
    this.#incarnations += 1;
    const self = {
      id,
      ipAddress: id,
      incarnation: this.#incarnations.toString(),
      processorCores: 1,
      linkMegabitsPerSecond: 100,
    };
    const tasks = new DisposableStore();
    const logger: Logger = {
      log: (_level, event, fields) => {
        this.note(`${id} ${formatLogLine(event, fields ?? {})}`);
      },
    };
    const health = new StoreHealth(logger);
    const store = observeRowStore(this.store.connect(id), health);
    const watch = (table: string): TableWatcher =>
      tasks.add(new TableWatcher(store, { table, waitMilliseconds: 2_500, pauseMilliseconds: 10 }, logger));
    const controlRows = watch(CONTROL_TABLE);
    const serverRows = watch(SERVERS_TABLE);
    const registry: ServerRegistry = new ServerRegistry(
      (_id, value) => JSON.parse(value) as ServerRecord,
      () => control.storeReachableMilliseconds(),
      logger,
    );
    const roster = new EntryVmRoster(self, store, controlRows, logger);
    const control: KeyControl = tasks.add(
      new KeyControl({
        self,
        store,
        grantClient: this.servers.clientFor(id),
        controlRows,
        tables: new Map([
          [CONTROL_TABLE, controlRows],
          [SERVERS_TABLE, serverRows],
        ]),
        health,
        registry,
        roster,
        services: () => new Map([[SERVICE, { name: SERVICE, kind: 'keyed', connectionsPerServer: 50 }]]),
        serverTimes: () => new Map(),
        send: (to, message) => {
          this.#send(vm, self.incarnation, to, message);
        },
        sendToOthers: (message) => {
          roster.otherAddresses().forEach((to) => {
            this.#send(vm, self.incarnation, to, message);
          });
        },
        logger: logger,
      }),
    );
    const vm: RigVm = { id, control, tasks, isRunning: true };
    this.vms.set(id, vm);
    this.#rosters.set(id, roster);
    this.#registries.set(id, registry);
    const timer = setInterval(() => {
      if (vm.isRunning) {
        registry.update(serverRows.rows);
        roster.tick();
        control.tick();
      }
    }, TICK_MILLISECONDS);
    tasks.add(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
    return vm;
  }

  note(text: string): void {
    this.trace.push(`${Math.round(performance.now()).toString()} ${text}`);
  }

  /** Cuts the power of an entry VM. */
  kill(id: string): void {
    const vm = this.vms.get(id);
    if (vm !== undefined) {
      vm.isRunning = false;
      vm.tasks.dispose();
      this.vms.delete(id);
    }
  }

  get assigners(): readonly string[] {
    return [...this.vms.values()].filter(({ control }) => control.isAssigner).map(({ id }) => id);
  }

  /** Lets time pass while sole ownership is checked again and again. */
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

  /** Sampled keys that no server holds. */
  unheldKeys(): readonly number[] {
    return SAMPLE_KEYS.filter((key) => this.servers.holders(key).length === 0);
  }

  dispose(): void {
    for (const id of [...this.vms.keys()]) {
      this.kill(id);
    }
    this.clock.uninstall();
  }

  readonly #rosters = new Map<string, EntryVmRoster>();

  /** What an entry VM believes of a server; nothing when it believes that it is gone. */
  phaseOf(vm: string, server: string): ServerRecord['phase'] | undefined {
    return this.#registries.get(vm)?.servers.get(server)?.phase;
  }

  readonly #registries = new Map<string, ServerRegistry>();

  #send(from: RigVm, incarnation: string, to: string, message: PeerMessage): void {
    if (this.loses(message)) {
      return;
    }
    setTimeout(() => {
      const receiver = this.vms.get(to);
      if (receiver?.isRunning === true && from.isRunning) {
        this.#rosters.get(to)?.recordHeard(from.id, incarnation);
        receiver.control.receive(message);
      }
    }, 1);
  }
}

/** Runs a scenario on a rig with three entry VMs and four servers that own all keys. */
export async function runKeyControl(scenario: (rig: KeyControlRig) => Promise<void>): Promise<void> {
  const rig = new KeyControlRig();
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
