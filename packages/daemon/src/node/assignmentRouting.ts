import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { RoutingState } from '@hickoryhoist/gateway/common/routingState.js';
import type { EntryVmControl } from '@hickoryhoist/ownership/common/entryVmControl.js';
import type { Assignment, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';

/** Routing state based on the assignments that the control tasks receive. */
export class AssignmentRouting implements RoutingState {
  readonly #control: EntryVmControl;

  constructor(control: EntryVmControl) {
    this.#control = control;
  }

  assignment(group: string): Assignment | undefined {
    return this.#control.assignment(group);
  }

  pooledServers(service: ServiceFile): readonly string[] {
    const servers = this.#control.assignment(service.name)?.servers ?? [];
    return servers.filter(({ phase }) => phase === 'serving').map(({ address }) => address);
  }

  mayRoute(group: string, server: ServerRecord): boolean {
    return server.fenceSupport === 'checked' || this.#control.routeLeases.mayRoute(group, server);
  }

  track(group: string, address: string, revision: number): Disposable {
    return this.#control.routeLeases.track(group, address, revision);
  }
}
