import type { KeyOwners } from './keyOwners.js';
import type { ServerRegistry } from './serverRegistry.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** Number of servers that still own keys, by evacuated availability zone. */
export function countServersWithKeys(
  evacuations: ZoneEvacuations,
  { servers }: Pick<ServerRegistry, 'servers'>,
  owners: Pick<KeyOwners, 'ownerIds'>,
): ReadonlyMap<string, number> {
  const counts = new Map(evacuations.zones.map((zone) => [zone, 0]));
  for (const id of owners.ownerIds()) {
    const zone = servers.get(id)?.availabilityZone;
    const count = zone === undefined ? undefined : counts.get(zone);
    if (zone !== undefined && count !== undefined) {
      counts.set(zone, count + 1);
    }
  }
  return counts;
}
