import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import type { FakeNetwork } from './fakeNetwork.js';

/** Name of the platform on the fake network. */
export const PLATFORM = 'platform';

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** The platform behind a fake network, with outages and lost responses. */
export class FakePlatform {
  readonly memory = new MemoryPlatform();
  readonly #network: FakeNetwork;
  isUnavailable = false;
  /** Number of upcoming write calls whose responses are lost after execution. */
  lostResponses = 0;

  constructor(network: FakeNetwork) {
    this.#network = network;
  }

  /** Returns a client of the platform for one caller on the network. */
  clientFor(caller: string): Platform {
    const { table, objects, virtualMachines } = this.memory;
    const call = <T>(isWrite: boolean, run: () => Promise<T>): Promise<T> => this.#call(caller, isWrite, run);
    return {
      table: {
        read: (key) => call(false, () => table.read(key)),
        transact: (operations) => call(true, () => table.transact(operations)),
      },
      objects: {
        put: (name, content) => call(true, () => objects.put(name, content)),
        get: (name) => call(false, () => objects.get(name)),
      },
      virtualMachines: { list: () => call(false, () => virtualMachines.list()) },
    };
  }

  async #call<T>(caller: string, isWrite: boolean, run: () => Promise<T>): Promise<T> {
    try {
      return await this.#network.call(caller, PLATFORM, CALL_TIMEOUT_MILLISECONDS, async () => {
        if (this.isUnavailable) {
          throw new PlatformUnavailableError('the platform is unavailable', false);
        }
        const response = await run();
        if (isWrite && this.lostResponses > 0) {
          this.lostResponses -= 1;
          throw new PlatformUnavailableError('the response was lost', true);
        }
        return response;
      });
    } catch (error) {
      throw error instanceof PlatformUnavailableError
        ? error
        : new PlatformUnavailableError('no response', isWrite, { cause: error });
    }
  }
}
