import type { ServerStatistics } from './serverStatistics.js';
import type { SlotRequest } from './slotRequest.js';

/** Requests sent to a server beyond its slots, so that it does not idle while the next one is in transit. */
const QUEUED_PER_SERVER = 1;
/** Body size from which servers of the same availability zone are preferred, in bytes. */
const LARGE_BODY_BYTES = 10_000;
/** Factor on the expected cost of a server in another availability zone, for large bodies. */
const CROSS_ZONE_COST_FACTOR = 3;

/** Whether a server can be sent another request now. */
export function hasCapacity(server: ServerStatistics, now: number): boolean {
  return server.expectedRequests(now) < server.slots + QUEUED_PER_SERVER && server.requestsAdmitted(now) >= 1;
}

/** Expected cost of a request at a server, for comparison with other servers. */
export function placementCost(
  request: Pick<SlotRequest, 'bodyBytes' | 'availabilityZone'>,
  server: ServerStatistics,
  now: number,
): number {
  const requests = server.expectedRequests(now);
  const rounds = Math.max(1, (requests + 1) / server.slots) + requests / server.slots;
  const isOtherZone =
    request.bodyBytes >= LARGE_BODY_BYTES && server.availabilityZone !== request.availabilityZone;
  return rounds * server.expectedCost(now) * (isOtherZone ? CROSS_ZONE_COST_FACTOR : 1);
}
