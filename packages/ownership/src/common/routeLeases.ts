import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { type Disposable, DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import type { RouteRequest } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { leaseTiming } from './leaseTiming.js';
import type { PeerClient } from './peerClient.js';

interface RouteLease {
  readonly renewerFence: number;
  readonly expiresAt: number;
}

interface RouteLeaseRequest {
  readonly renewer: EntryVm;
  readonly route: RouteRequest;
}

/** Requests and renews the route leases under which this gateway may send to servers that do not support fencing. */
export class RouteLeases extends DisposableBase {
  readonly #self: EntryVm;
  readonly #peers: PeerClient;
  readonly #assignments: () => readonly Assignment[];
  readonly #leases = new Map<string, RouteLease>();
  readonly #inFlight = new Map<string, number[]>();

  constructor(self: EntryVm, peers: PeerClient, assignments: () => readonly Assignment[]) {
    super();
    this.#self = self;
    this.#peers = peers;
    this.#assignments = assignments;
    this.register(
      repeat(
        () => leaseTiming.renewalIntervalMilliseconds,
        () => {
          this.#renewAll();
        },
        () => undefined,
      ),
    );
  }

  /** Whether this process may send to a server at present. */
  mayRoute(group: string, server: ServerRecord): boolean {
    const lease = this.#leases.get(routeKey(group, server.address));
    return lease?.renewerFence === server.renewerFence && performance.now() < lease.expiresAt;
  }

  /** Counts a request sent under a revision as in flight until the returned object is disposed. */
  track(group: string, address: string, revision: number): Disposable {
    const key = routeKey(group, address);
    const revisions = this.#inFlight.get(key) ?? [];
    revisions.push(revision);
    this.#inFlight.set(key, revisions);
    return toDisposable(() => {
      revisions.splice(revisions.indexOf(revision), 1);
    });
  }

  #renewAll(): void {
    const requests = this.#assignments().flatMap((assignment) => this.#requestsFor(assignment));
    const byRenewer = new Map<string, RouteLeaseRequest[]>();
    for (const request of requests) {
      const batch = byRenewer.get(request.renewer.controlAddress) ?? [];
      batch.push(request);
      byRenewer.set(request.renewer.controlAddress, batch);
    }
    for (const [address, batch] of byRenewer) {
      this.#renew(address, batch).catch(() => undefined);
    }
  }

  #requestsFor(assignment: Assignment): readonly RouteLeaseRequest[] {
    const unchecked = assignment.servers.filter(
      ({ fenceSupport, phase }) => fenceSupport === 'unchecked' && phase !== 'lost',
    );
    return unchecked.flatMap((server) =>
      server.renewers.map((renewer) => ({ renewer, route: this.#requestFor(assignment, server) })),
    );
  }

  #requestFor({ group, revision }: Assignment, { address, renewerFence }: ServerRecord): RouteRequest {
    const inFlight = this.#inFlight.get(routeKey(group, address)) ?? [];
    return {
      group,
      serverAddress: address,
      renewerFence,
      appliedRevision: revision,
      settledRevision: Math.min(revision, ...inFlight),
    };
  }

  async #renew(address: string, requests: readonly RouteLeaseRequest[]): Promise<void> {
    const requestedAt = performance.now();
    const reply = await this.#peers.renewRoutes(address, {
      entryVmId: this.#self.id,
      routes: requests.map(({ route }) => route),
    });
    requests.forEach(({ route, renewer }, index) => {
      if (reply.isGranted[index] === true && reply.incarnation === renewer.incarnation) {
        this.#extend(route, requestedAt + leaseTiming.leaseDurationMilliseconds);
      }
    });
  }

  #extend({ group, serverAddress, renewerFence }: RouteRequest, expiresAt: number): void {
    const key = routeKey(group, serverAddress);
    const known = this.#leases.get(key);
    if (known === undefined || known.renewerFence < renewerFence) {
      this.#leases.set(key, { renewerFence, expiresAt });
    } else if (known.renewerFence === renewerFence && known.expiresAt < expiresAt) {
      this.#leases.set(key, { renewerFence, expiresAt });
    }
  }
}

function routeKey(group: string, address: string): string {
  return `${group} ${address}`;
}
