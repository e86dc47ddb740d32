import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Assignment, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';

/** What the gateway knows of ownership and of servers. */
export interface RoutingState {
  assignment(group: string): Assignment | undefined;
  /** Servers of a pooled service that may receive new work now. */
  pooledServers(service: ServiceFile): readonly string[];
  /** Whether this process may send to a server that checks no fences. */
  mayRoute(group: string, server: ServerRecord): boolean;
}
