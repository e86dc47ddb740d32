import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, DisposableStore, type Disposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import type {
  RenewRoutesReply,
  RenewRoutesRequest,
  ServerReport,
  WithdrawReply,
  WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { OwnershipState } from '@hickoryhoist/protocol/common/serverMessages.js';
import { GrantedRouteLeases } from './grantedRouteLeases.js';
import { leaseTiming, SAFE_EXPIRY_MILLISECONDS } from './leaseTiming.js';
import type { ServerClient } from './serverClient.js';

interface RenewalTask {
  readonly group: string;
  readonly server: ServerRecord;
  readonly startedAt: number;
  readonly loop: Disposable;
  readonly routeLeases: GrantedRouteLeases;
  lastResponseAt: number | undefined;
  state: OwnershipState | undefined;
}

/**
 * Renews the leases of the servers for which an assignment names this process as a renewer. It continues to do so
 * while neither an assigner nor the store is reachable; only a newer assignment or a revocation ends a renewal task.
 */
export class LeaseRenewer extends DisposableBase {
  readonly #self: EntryVm;
  readonly #servers: ServerClient;
  readonly #logger: Logger;
  readonly #tasks = new Map<string, RenewalTask>();
  readonly #revokedFences = new Map<string, number>();
  readonly #newestRevisions = new Map<string, number>();
  readonly #loops = this.register(new DisposableStore());

  constructor(self: EntryVm, servers: ServerClient, logger: Logger) {
    super();
    this.#self = self;
    this.#servers = servers;
    this.#logger = logger;
  }

  /** Starts and ends renewal tasks to match an assignment. */
  applyAssignment(assignment: Assignment): void {
    this.#newestRevisions.set(assignment.group, assignment.revision);
    const renewedServers = new Map(
      assignment.servers
        .filter((server) => this.#isRenewerOf(server) && !this.#isRevoked(assignment.group, server))
        .map((server) => [taskKey(assignment.group, server.address), server]),
    );
    for (const [key, task] of this.#tasks) {
      if (task.group === assignment.group && !isSameTask(task.server, renewedServers.get(key))) {
        this.#endTask(key, task);
      }
    }
    for (const [key, server] of renewedServers) {
      if (!this.#tasks.has(key)) {
        this.#startTask(key, assignment.group, server);
      }
    }
  }

  /** Revokes the right to renew a lease under the given renewer fence and all lower ones. */
  withdraw(request: WithdrawRequest): WithdrawReply {
    const key = taskKey(request.group, request.serverAddress);
    const task = this.#tasks.get(key);
    this.#revokedFences.set(key, Math.max(request.renewerFence, this.#revokedFences.get(key) ?? 0));
    if (task === undefined || task.server.renewerFence > request.renewerFence) {
      return { incarnation: this.#self.incarnation, lapseMilliseconds: SAFE_EXPIRY_MILLISECONDS };
    }
    this.#endTask(key, task);
    return { incarnation: this.#self.incarnation, lapseMilliseconds: remainingLeaseMilliseconds(task) };
  }

  /** Grants route leases to gateways for servers that do not support fencing. */
  renewRoutes(request: RenewRoutesRequest): RenewRoutesReply {
    const isGranted = request.routes.map((route) => {
      const task = this.#tasks.get(taskKey(route.group, route.serverAddress));
      const newestRevision = this.#newestRevisions.get(route.group) ?? 0;
      return (
        task?.server.fenceSupport === 'unchecked' &&
        task.server.renewerFence === route.renewerFence &&
        task.routeLeases.grant(request.entryVmId, route, newestRevision)
      );
    });
    return { incarnation: this.#self.incarnation, isGranted };
  }

  /** Reports when each renewed server of a group last responded. */
  report(group: string): readonly ServerReport[] {
    const now = performance.now();
    return [...this.#tasks.values()]
      .filter((task) => task.group === group)
      .map((task) => ({
        address: task.server.address,
        renewerFence: task.server.renewerFence,
        silentMilliseconds: Math.round(now - (task.lastResponseAt ?? task.startedAt)),
        incarnation: task.state?.incarnation ?? '',
        isLeaving: task.state?.isLeaving ?? false,
        settledRevision: task.routeLeases.settledRevision(this.#newestRevisions.get(group) ?? 0),
      }));
  }

  #isRenewerOf(server: ServerRecord): boolean {
    return (
      server.phase !== 'lost' &&
      server.renewers.some(
        ({ id, incarnation }) => id === this.#self.id && incarnation === this.#self.incarnation,
      )
    );
  }

  #isRevoked(group: string, server: ServerRecord): boolean {
    return server.renewerFence <= (this.#revokedFences.get(taskKey(group, server.address)) ?? 0);
  }

  #startTask(key: string, group: string, server: ServerRecord): void {
    const loop = repeat(
      () => leaseTiming.renewalIntervalMilliseconds,
      () => this.#renew(task),
      (error) => {
        this.#logger.log('debug', 'renewal-failed', { server: server.address, error: describeError(error) });
      },
    );
    const task: RenewalTask = {
      group,
      server,
      startedAt: performance.now(),
      loop: this.#loops.add(loop),
      routeLeases: new GrantedRouteLeases(),
      lastResponseAt: undefined,
      state: undefined,
    };
    this.#tasks.set(key, task);
    void this.#renew(task).catch(() => undefined);
  }

  #endTask(key: string, task: RenewalTask): void {
    task.loop.dispose();
    this.#tasks.delete(key);
  }

  async #renew(task: RenewalTask): Promise<void> {
    const { server, group } = task;
    const response = await this.#servers.send(
      server.address,
      {
        kind: 'renew',
        group,
        incarnation: server.incarnation,
        epoch: server.epoch,
        renewerFence: server.renewerFence,
        validUntilMilliseconds: leaseEnd(task),
      },
      leaseTiming.renewalTimeoutMilliseconds,
    );
    if (this.#tasks.get(taskKey(group, server.address)) !== task) {
      return;
    }
    if (response.kind === 'unchecked') {
      task.lastResponseAt = performance.now();
      return;
    }
    const isFirstAcceptance = response.state.accepted && task.state?.accepted !== true;
    task.state = response.state;
    task.lastResponseAt = performance.now();
    if (isFirstAcceptance) {
      await this.#renew(task);
    }
  }
}

function taskKey(group: string, address: string): string {
  return `${group} ${address}`;
}

function isSameTask(current: ServerRecord, next: ServerRecord | undefined): boolean {
  return (
    next?.renewerFence === current.renewerFence &&
    next.epoch === current.epoch &&
    next.incarnation === current.incarnation
  );
}

/**
 * Returns the end of the lease on the server's clock. It is computed from the clock reading in the server's previous
 * response, so that a delayed renewal does not extend the lease. It is 0 if that response did not accept a renewal.
 */
function leaseEnd(task: RenewalTask): number {
  return task.state?.accepted === true
    ? task.state.clockMilliseconds + leaseTiming.leaseDurationMilliseconds
    : 0;
}

function remainingLeaseMilliseconds(task: RenewalTask): number {
  if (task.server.fenceSupport === 'unchecked') {
    return task.routeLeases.remainingMilliseconds();
  }
  if (task.lastResponseAt === undefined || task.state?.accepted !== true) {
    return SAFE_EXPIRY_MILLISECONDS;
  }
  const elapsed = performance.now() - task.lastResponseAt;
  return Math.max(0, Math.ceil(SAFE_EXPIRY_MILLISECONDS - elapsed));
}
