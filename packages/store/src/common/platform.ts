import type { ObjectStore } from './objectStore.js';
import type { TableService } from './tableService.js';
import type { VirtualMachineList } from './virtualMachineList.js';

/** The services that the platform provides. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly virtualMachines: VirtualMachineList;
}
