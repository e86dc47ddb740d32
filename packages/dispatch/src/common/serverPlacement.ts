import type { ServerStatistics } from './serverStatistics.js';
import type { SlotRequest } from './slotRequest.js';

/** Requests sent to a server beyond its slots, so that it does not idle while the next one is in transit. */
const QUEUED_PER_SERVER = 1;
/** Body size from which servers of the same availability zone are preferred whatever the links, in bytes. */
const LARGE_BODY_BYTES = 10_000;
/** Time that a request and its response may take on a link, in milliseconds, before crossing zones counts as costly. */
const MAX_LINK_MILLISECONDS = 1;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;
/** Factor on the expected cost of a server in another availability zone, for requests that cross at a cost. */
const CROSS_ZONE_COST_FACTOR = 3;
/** A server of the same zone is preferred while this multiple of its processing time is left until the goal. */
const GOAL_MARGIN = 2;

/** Whether a server can be sent another request now. */
export function hasCapacity(server: ServerStatistics, now: number): boolean {
  return server.inFlight < server.slots + QUEUED_PER_SERVER && server.requestsAdmitted(now) >= 1;
}

/** Bytes of a request and its response from which links of a bandwidth are scarce. */
export function costlyBytes(linkMegabitsPerSecond: number): number {
  return (linkMegabitsPerSecond * BITS_PER_MEGABIT * MAX_LINK_MILLISECONDS) / 1_000 / BITS_PER_BYTE;
}

/**
 * Expected cost of a request at a server, for comparison with other servers. Load pattern: callers of one zone send more
 * than its servers can run, while those of other zones have room. A request that crosses zones at a cost goes to a
 * server of its zone that has a free slot and meets the goal; it never waits for one while another zone has a free slot
 * at a server as fast.
 */
export function placementCost(
  request: Pick<SlotRequest, 'bodyBytes' | 'responseBytes' | 'availabilityZone' | 'goalAt'>,
  server: ServerStatistics,
  now: number,
): number {
  const requests = server.expectedRequests(now);
  const rounds = Math.max(1, (requests + 1) / server.slots) + requests / server.slots;
  const isCrossingCostly = request.bodyBytes >= LARGE_BODY_BYTES || (request.responseBytes ?? 0) > 0;
  const isPreferred =
    server.availabilityZone === request.availabilityZone &&
    requests < server.slots &&
    now + GOAL_MARGIN * server.expectedMilliseconds(now) <= request.goalAt;
  return rounds * server.expectedCost(now) * (isCrossingCostly && !isPreferred ? CROSS_ZONE_COST_FACTOR : 1);
}
