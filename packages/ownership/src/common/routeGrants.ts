import type { RouteRequest } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { SAFE_LAPSE_MILLISECONDS } from './leaseTiming.js';

interface RouteGrant {
  readonly settledRevision: number;
  readonly lapsesAt: number;
}

/**
 * The route leases that one renewer granted for one server that checks no fences. A gateway sends to such a
 * server only under a route lease, and a lease is granted only to a gateway that knows the newest assignment.
 */
export class RouteGrants {
  readonly #grants = new Map<string, RouteGrant>();

  /** @returns whether the gateway may send to the server for one lease length from its question. */
  request(entryVmId: string, route: RouteRequest, newestRevision: number): boolean {
    if (route.appliedRevision < newestRevision) {
      return false;
    }
    const lapsesAt = performance.now() + SAFE_LAPSE_MILLISECONDS;
    this.#grants.set(entryVmId, { settledRevision: route.settledRevision, lapsesAt });
    return true;
  }

  /** Newest revision before which no gateway with a lease acts any more. */
  settledRevision(newestRevision: number): number {
    let settled = newestRevision;
    for (const [entryVmId, grant] of this.#grants) {
      if (grant.lapsesAt <= performance.now()) {
        this.#grants.delete(entryVmId);
      } else {
        settled = Math.min(settled, grant.settledRevision);
      }
    }
    return settled;
  }

  /** Time until the last lease has lapsed, in milliseconds. */
  remainingMilliseconds(): number {
    const latest = Math.max(0, ...[...this.#grants.values()].map(({ lapsesAt }) => lapsesAt));
    return Math.max(0, Math.ceil(latest - performance.now()));
  }
}
