import type { Observations } from './observations.js';

/** Returns a string that changes with every observation that may require a new revision, except the load. */
export function observationDigest({
  desiredServers,
  servers,
  members,
  isStartupComplete,
}: Observations): string {
  const parts: (string | number | boolean)[] = [isStartupComplete];
  for (const { address, isLeaving } of desiredServers) {
    parts.push(address, isLeaving);
  }
  for (const { entryVm, isLeaving } of members) {
    parts.push(entryVm.incarnation, isLeaving);
  }
  for (const server of servers.values()) {
    parts.push(
      server.address,
      server.incarnation,
      server.isLeaving,
      server.isReachable,
      server.acknowledgedRevision,
      server.drainingKeys.length,
      server.adoptedRenewerFence,
      server.revokingFence,
      server.expiredFence,
    );
  }
  return parts.join(' ');
}
