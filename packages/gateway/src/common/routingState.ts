import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Assignment, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';

/** What the gateway knows of ownership and of servers. */
export interface RoutingState {
  assignment(group: string): Assignment | undefined;
  /** Servers of a pooled service that may receive new work now. */
  pooledServers(service: ServiceFile): readonly string[];
  /** Whether this process may send to a server that checks no fences. */
  mayRoute(group: string, server: ServerRecord): boolean;
  /** Counts a request as in flight that was sent under a revision, until the result is disposed. */
  track(group: string, address: string, revision: number): Disposable;
}
