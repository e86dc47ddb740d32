import FakeTimers from '@sinonjs/fake-timers';
import { KeyedServers } from '@hickoryhoist/standIns/common/emulator/keyedServers.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from '../../assignmentStore.js';
import { KeyAssigner, type RegisteredServer } from '../../keyAssigner.js';
import { emptyAssignment, LAST_KEY } from '../../keyAssignment.js';
import type { KeyTraffic } from '../../keyPlanner.js';

const SERVICE = 'catalogue';
const ASSIGNER_ID = 'vm-1';
const TICK_MILLISECONDS = 50;
const CHECK_MILLISECONDS = 10;
/** Keys between two that are checked. */
const SAMPLE_STEP = 499;

/** One assigner with in-memory servers, an in-memory store and a fake clock. */
export class KeyAssignerRig {
  readonly clock: FakeTimers.Clock;
  readonly store = new MemoryRowStore();
  readonly servers = new KeyedServers();
  /** Keys that two servers held at the same time. */
  readonly violations: string[] = [];
  /** Log events, for diagnosing a failure. */
  readonly trace: string[] = [];
  readonly assigner: KeyAssigner;
  traffic: KeyTraffic = { sortedKeys: [], seconds: 1 };
  readonly #registered = new Map<string, RegisteredServer>();

  constructor(serverIds: readonly string[]) {
    this.clock = FakeTimers.install({
      now: 1_700_000_000_000,
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
    });
    for (const id of serverIds) {
      this.register(id);
    }
    this.store.put(CONTROL_TABLE, ASSIGNER_ROW_KEY, ASSIGNER_ID);
    this.assigner = new KeyAssigner(
      {
        service: SERVICE,
        store: this.store.connect(ASSIGNER_ID),
        client: this.servers.clientFor(ASSIGNER_ID),
        logger: {
          log: (_level, event, fields) => {
            this.trace.push(
              `${Math.round(performance.now()).toString()} ${event} ${JSON.stringify(fields ?? {})}`,
            );
          },
        },
        assignerLease: { isValid: () => true },
        assignerRowVersion: this.store.row(CONTROL_TABLE, ASSIGNER_ROW_KEY)?.version ?? 0,
        minRevision: 0,
        previousLeaseEndsAt: () => 0,
        servers: () => this.#registered,
        isAbsenceReliable: () => true,
        traffic: () => this.traffic,
        newestTraffic: () => this.traffic,
        onDidWrite: () => undefined,
        onDidLoseTerm: (reason) => {
          this.trace.push(`term lost: ${reason}`);
        },
      },
      { assignment: emptyAssignment, rowVersion: 0 },
    );
  }

  /** Registers a server, or records its present phase and incarnation. */
  register(id: string, phase: RegisteredServer['phase'] = 'ready', requestsPerSecond = 10): void {
    const { incarnation } = this.servers.servers.get(id) ?? this.servers.add(id);
    this.#registered.set(id, { id, incarnation, address: id, phase, requestsPerSecond });
  }

  /** Registers the incarnation before the present one, at another address, as a late write in the store does. */
  registerFormer(id: string): void {
    const registered = this.#registered.get(id);
    if (registered !== undefined) {
      const { incarnation } = registered;
      this.#registered.set(id, { ...registered, incarnation: incarnation - 1, address: `former-${id}` });
    }
  }

  unregister(id: string): void {
    this.#registered.delete(id);
  }

  /** Cuts the connection between the assigner and a server, or heals it. */
  setCutOff(id: string, isCutOff: boolean): void {
    if (isCutOff) {
      this.servers.partitions.add(`${ASSIGNER_ID} ${id}`);
    } else {
      this.servers.partitions.delete(`${ASSIGNER_ID} ${id}`);
    }
  }

  /** Advances the clock in small steps, and checks after each that no key has two holders. */
  async advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += CHECK_MILLISECONDS) {
      if (Math.round(performance.now()) % TICK_MILLISECONDS < CHECK_MILLISECONDS) {
        this.assigner.tick();
      }
      await this.clock.tickAsync(CHECK_MILLISECONDS);
      for (let key = 0; key <= LAST_KEY; key += SAMPLE_STEP) {
        const holders = this.servers.holders(key);
        if (holders.length > 1) {
          const at = Math.round(performance.now()).toString();
          this.violations.push(`${at} key ${key.toString()} at ${holders.join(' and ')}`);
        }
      }
    }
  }

  /** Servers that own two adjacent ranges. */
  ownersOfAdjacentRanges(): readonly string[] {
    const ranges = this.assigner.leases.map(({ range }) => range);
    return ranges
      .filter(({ ownerId }, index) => ranges[index + 1]?.ownerId === ownerId)
      .map(({ ownerId }) => ownerId);
  }

  dispose(): void {
    this.clock.uninstall();
  }
}

export async function withKeyAssignerRig(
  serverIds: readonly string[],
  scenario: (rig: KeyAssignerRig) => Promise<void>,
): Promise<void> {
  const rig = new KeyAssignerRig(serverIds);
  try {
    await scenario(rig);
  } finally {
    rig.dispose();
  }
}
