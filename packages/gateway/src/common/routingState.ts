import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Assignment, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';

/** Current assignments and servers, as the gateway uses them to route requests. */
export interface RoutingState {
  assignment(group: string): Assignment | undefined;
  /** Addresses of the servers of a pooled service that accept new requests. */
  pooledServers(service: ServiceFile): readonly string[];
  /** Whether this process may send requests to a server. One that does not check fences requires a route lease. */
  mayRoute(group: string, server: ServerRecord): boolean;
  /** Counts a request sent under a revision of the assignment as in flight until the result is disposed. */
  track(group: string, address: string, revision: number): Disposable;
}
