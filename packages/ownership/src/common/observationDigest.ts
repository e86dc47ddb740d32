import type { Observations } from './observations.js';

/** Text that changes whenever something was observed that may call for a new revision, load apart. */
export function observationDigest({
  desiredServers: wanted,
  servers,
  members,
  isStartupComplete: isSettled,
}: Observations): string {
  const parts: (string | number | boolean)[] = [isSettled];
  for (const { address, isLeaving } of wanted) {
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
