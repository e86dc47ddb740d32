import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import type { VirtualMachine } from '@hickoryhoist/store/common/virtualMachineList.js';
import { DrainStore } from './drainStore.js';

const POLL_INTERVAL_MILLISECONDS = 1_000;

/** Polls the platform's VM list and the servers drained by operators while this process needs them. */
export class PlatformPoller extends DisposableBase {
  readonly #platform: Platform;
  readonly #drains: DrainStore;
  #machines: readonly VirtualMachine[] = [];
  #drainedAddresses: ReadonlySet<string> = new Set();

  constructor(platform: Platform, isNeeded: () => boolean, logger: Logger) {
    super();
    this.#platform = platform;
    this.#drains = new DrainStore(platform.table);
    this.register(
      repeat(
        () => POLL_INTERVAL_MILLISECONDS,
        () => (isNeeded() ? this.read() : undefined),
        (error) => {
          logger.log('warn', 'platform-read-failed', { error: describeError(error) });
        },
      ),
    );
  }

  /** The last VM list that was read successfully. */
  get machines(): readonly VirtualMachine[] {
    return this.#machines;
  }

  /** Whether the VM at an address is leaving or an operator has drained it. */
  isLeaving(address: string): boolean {
    const machine = this.#machines.find((other) => other.address === address);
    return machine?.state === 'leaving' || this.#drainedAddresses.has(address);
  }

  /** @throws PlatformUnavailableError */
  async read(): Promise<void> {
    this.#machines = await this.#platform.virtualMachines.list();
    this.#drainedAddresses = new Set(await this.#drains.read());
  }
}
