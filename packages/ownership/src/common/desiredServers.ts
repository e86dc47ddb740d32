import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { DesiredServer, Member } from './observations.js';
import type { PlatformPoller } from './platformPoller.js';

/** Returns the servers that a service file lists, or those of its role in the platform's VM list. */
export function desiredServersOf(service: ServiceFile, platform: PlatformPoller): readonly DesiredServer[] {
  const listed = Array.isArray(service.servers)
    ? service.servers
    : platform.machines.filter(({ role }) => role === (service.servers as { role: string }).role);
  return listed.map(({ address, availabilityZone }) => ({
    address,
    availabilityZone,
    isLeaving: platform.isLeaving(address),
  }));
}

/** Returns the entry VMs as servers of the group that owns idempotency keys. */
export function entryVmsAsServers(members: readonly Member[]): readonly DesiredServer[] {
  return members.map(({ entryVm, isLeaving }) => ({
    address: entryVm.requestAddress,
    availabilityZone: entryVm.availabilityZone,
    isLeaving,
    entryVmId: entryVm.id,
  }));
}
