import type { ServerStatistics } from './serverStatistics.js';

/** Capacity of the servers that can run a request. */
export interface ServiceCapacity {
  /** Attempts in flight, and slots that are busy or can be used within the rates and paces of servers. */
  inFlight: number;
  slots: number;
  /** Requests per millisecond that can start while all slots are busy. */
  completionRate: number;
  /** Sum of the expected processing times in milliseconds, and number of servers. */
  totalMilliseconds: number;
  servers: number;
}

/** The capacity of no server at all. */
export function emptyCapacity(): ServiceCapacity {
  return { inFlight: 0, slots: 0, completionRate: 0, totalMilliseconds: 0, servers: 0 };
}

/** Requests per millisecond that can start at a server while all of its slots are busy. */
export function completionRate(server: ServerStatistics, now: number): number {
  const requestsPerSecond = server.requestsPerSecond(now) ?? Number.POSITIVE_INFINITY;
  return Math.min(server.slotsWithinPace / server.expectedMilliseconds(now), requestsPerSecond / 1_000);
}

/** Adds the capacity of one server. */
export function addServer(capacity: ServiceCapacity, server: ServerStatistics, now: number): void {
  const milliseconds = server.expectedMilliseconds(now);
  capacity.inFlight += server.inFlight;
  capacity.slots += Math.min(server.slots, server.inFlight + server.requestsAdmitted(now));
  capacity.completionRate += completionRate(server, now);
  capacity.totalMilliseconds += milliseconds;
  capacity.servers += 1;
}

/** Average processing time of the servers; 0 without servers. */
export function processingMilliseconds({ totalMilliseconds, servers }: ServiceCapacity): number {
  return servers === 0 ? 0 : totalMilliseconds / servers;
}

/** Expected wait of a request behind a number of others, in milliseconds. */
export function waitMilliseconds(
  { inFlight, slots, completionRate }: ServiceCapacity,
  ahead: number,
): number {
  return Math.max(0, ahead + inFlight - slots + 1) / completionRate;
}
