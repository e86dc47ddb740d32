import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { type Disposable, DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import type { RouteRequest } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { leaseTiming } from './leaseTiming.js';
import type { PeerClient } from './peerClient.js';

interface RouteLease {
  readonly renewerFence: number;
  readonly endsAt: number;
}

interface AskedRoute {
  readonly renewer: EntryVm;
  readonly route: RouteRequest;
}

/** Keeps this gateway's right to send to servers that check no fences. */
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
        () => leaseTiming.renewalPauseMilliseconds,
        () => {
          this.#renewAll();
        },
        () => undefined,
      ),
    );
  }

  /** Whether this process may send to a server at this moment. */
  mayRoute(group: string, server: ServerRecord): boolean {
    const lease = this.#leases.get(routeKey(group, server.address));
    return lease?.renewerFence === server.renewerFence && performance.now() < lease.endsAt;
  }

  /** Counts a request as in flight that was sent under a revision, until the result is disposed. */
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
    const asked = this.#assignments().flatMap((assignment) => this.#routesOf(assignment));
    const byRenewer = new Map<string, AskedRoute[]>();
    for (const question of asked) {
      const questions = byRenewer.get(question.renewer.controlAddress) ?? [];
      questions.push(question);
      byRenewer.set(question.renewer.controlAddress, questions);
    }
    for (const [address, questions] of byRenewer) {
      this.#renew(address, questions).catch(() => undefined);
    }
  }

  #routesOf(assignment: Assignment): readonly AskedRoute[] {
    const unchecked = assignment.servers.filter(
      ({ fenceSupport, phase }) => fenceSupport === 'unchecked' && phase !== 'lost',
    );
    return unchecked.flatMap((server) =>
      server.renewers.map((renewer) => ({ renewer, route: this.#routeTo(assignment, server) })),
    );
  }

  #routeTo({ group, revision }: Assignment, { address, renewerFence }: ServerRecord): RouteRequest {
    const inFlight = this.#inFlight.get(routeKey(group, address)) ?? [];
    return {
      group,
      serverAddress: address,
      renewerFence,
      appliedRevision: revision,
      settledRevision: Math.min(revision, ...inFlight),
    };
  }

  async #renew(address: string, questions: readonly AskedRoute[]): Promise<void> {
    const askedAt = performance.now();
    const reply = await this.#peers.renewRoutes(address, {
      entryVmId: this.#self.id,
      routes: questions.map(({ route }) => route),
    });
    questions.forEach(({ route, renewer }, index) => {
      if (reply.isGranted[index] === true && reply.incarnation === renewer.incarnation) {
        this.#extend(route, askedAt + leaseTiming.leaseMilliseconds);
      }
    });
  }

  #extend({ group, serverAddress, renewerFence }: RouteRequest, endsAt: number): void {
    const key = routeKey(group, serverAddress);
    const known = this.#leases.get(key);
    if (known === undefined || known.renewerFence < renewerFence) {
      this.#leases.set(key, { renewerFence, endsAt });
    } else if (known.renewerFence === renewerFence && known.endsAt < endsAt) {
      this.#leases.set(key, { renewerFence, endsAt });
    }
  }
}

function routeKey(group: string, address: string): string {
  return `${group} ${address}`;
}
