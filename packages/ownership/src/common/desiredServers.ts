import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Member, DesiredServer } from './observations.js';
import type { PlatformWatcher } from './platformWatcher.js';

/** Servers that a service file names, directly or through the platform's VM list. */
export function wantedServersOf(service: ServiceFile, watcher: PlatformWatcher): readonly DesiredServer[] {
  const listed = Array.isArray(service.servers)
    ? service.servers
    : watcher.machines.filter(({ role }) => role === (service.servers as { role: string }).role);
  return listed.map(({ address, availabilityZone }) => ({
    address,
    availabilityZone,
    isLeaving: watcher.isLeaving(address),
  }));
}

/** Entry VMs as servers of the group that owns idempotency keys. */
export function wantedEntryVms(members: readonly Member[]): readonly DesiredServer[] {
  return members.map(({ entryVm, isLeaving }) => ({
    address: entryVm.requestAddress,
    availabilityZone: entryVm.availabilityZone,
    isLeaving,
    entryVmId: entryVm.id,
  }));
}
