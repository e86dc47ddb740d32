import type { ObjectStore } from './objectStore.js';
import type { Platform } from './platform.js';
import type { TableOperation, TableRow, TableService, TransactionResult } from './tableService.js';
import type { VirtualMachine, VirtualMachineList } from './virtualMachineList.js';

/** In-memory table service with the transaction semantics of the platform's service. */
export class MemoryTableService implements TableService {
  readonly #rows = new Map<string, TableRow>();

  read(key: string): Promise<TableRow> {
    return Promise.resolve(this.#row(key));
  }

  transact(operations: readonly TableOperation[]): Promise<TransactionResult> {
    for (const operation of operations) {
      const actualVersion = this.#row(operation.key).version;
      if (actualVersion !== operation.expectedVersion) {
        return Promise.resolve({ kind: 'conflict', key: operation.key, actualVersion });
      }
    }
    for (const operation of operations) {
      if (operation.kind === 'put') {
        const { key, value, expectedVersion } = operation;
        this.#rows.set(key, { key, value, version: expectedVersion + 1 });
      }
    }
    return Promise.resolve({ kind: 'committed' });
  }

  #row(key: string): TableRow {
    return this.#rows.get(key) ?? { key, version: 0, value: '' };
  }
}

/** In-memory object store. */
export class MemoryObjectStore implements ObjectStore {
  readonly #objects = new Map<string, string>();

  put(name: string, content: string): Promise<void> {
    if (!this.#objects.has(name)) {
      this.#objects.set(name, content);
    }
    return Promise.resolve();
  }

  get(name: string): Promise<string | undefined> {
    return Promise.resolve(this.#objects.get(name));
  }
}

/** In-memory list of VMs. */
export class MemoryVirtualMachineList implements VirtualMachineList {
  readonly #machines = new Map<string, VirtualMachine>();

  list(): Promise<readonly VirtualMachine[]> {
    return Promise.resolve([...this.#machines.values()]);
  }

  set(machine: VirtualMachine): void {
    this.#machines.set(machine.id, machine);
  }

  remove(id: string): void {
    this.#machines.delete(id);
  }
}

/** In-memory platform: the embedded default, also served over HTTP by the platform emulator. */
export class MemoryPlatform implements Platform {
  readonly table = new MemoryTableService();
  readonly objects = new MemoryObjectStore();
  readonly virtualMachines = new MemoryVirtualMachineList();
}
