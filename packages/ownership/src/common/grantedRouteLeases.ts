import type { RouteRequest } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { SAFE_EXPIRY_MILLISECONDS } from './leaseTiming.js';

interface GrantedRouteLease {
  readonly settledRevision: number;
  readonly expiresAt: number;
}

/**
 * Route leases that a renewer has granted to gateways for one server that does not support fencing. A gateway sends to
 * such a server only under a route lease, which is granted only to gateways that have the newest assignment.
 */
export class GrantedRouteLeases {
  readonly #leases = new Map<string, GrantedRouteLease>();

  /** Grants a route lease. @returns false when the gateway has an older assignment than this process. */
  grant(entryVmId: string, route: RouteRequest, newestRevision: number): boolean {
    if (route.appliedRevision < newestRevision) {
      return false;
    }
    const expiresAt = performance.now() + SAFE_EXPIRY_MILLISECONDS;
    this.#leases.set(entryVmId, { settledRevision: route.settledRevision, expiresAt });
    return true;
  }

  /** Newest revision such that no gateway with a lease still acts on an older one. */
  settledRevision(newestRevision: number): number {
    let settled = newestRevision;
    for (const [entryVmId, lease] of this.#leases) {
      if (lease.expiresAt <= performance.now()) {
        this.#leases.delete(entryVmId);
      } else {
        settled = Math.min(settled, lease.settledRevision);
      }
    }
    return settled;
  }

  /** Time until the last lease has expired, in milliseconds. */
  remainingMilliseconds(): number {
    const latest = Math.max(0, ...[...this.#leases.values()].map(({ expiresAt }) => expiresAt));
    return Math.max(0, Math.ceil(latest - performance.now()));
  }
}
