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
import { leaseTiming, SAFE_LAPSE_MILLISECONDS } from './leaseTiming.js';
import { RouteGrants } from './routeGrants.js';
import type { ServerClient } from './serverClient.js';

interface Duty {
  readonly group: string;
  readonly server: ServerRecord;
  readonly startedAt: number;
  readonly loop: Disposable;
  readonly routes: RouteGrants;
  lastAnswerAt: number | undefined;
  state: OwnershipState | undefined;
}

/**
 * Renews the leases of the servers for which an assignment names this process. It goes on while it hears
 * from no assigner and no store; only a newer assignment or a withdrawal ends a duty.
 */
export class LeaseRenewer extends DisposableBase {
  readonly #self: EntryVm;
  readonly #servers: ServerClient;
  readonly #logger: Logger;
  readonly #duties = new Map<string, Duty>();
  readonly #withdrawnFences = new Map<string, number>();
  readonly #newestRevisions = new Map<string, number>();
  readonly #loops = this.register(new DisposableStore());

  constructor(self: EntryVm, servers: ServerClient, logger: Logger) {
    super();
    this.#self = self;
    this.#servers = servers;
    this.#logger = logger;
  }

  /** Takes up and ends duties so that they match an assignment. */
  applyAssignment(assignment: Assignment): void {
    this.#newestRevisions.set(assignment.group, assignment.revision);
    const wanted = new Map(
      assignment.servers
        .filter((server) => this.#isNamed(server) && !this.#isWithdrawn(assignment.group, server))
        .map((server) => [dutyKey(assignment.group, server.address), server]),
    );
    for (const [key, duty] of this.#duties) {
      if (duty.group === assignment.group && !isSameDuty(duty.server, wanted.get(key))) {
        this.#end(key, duty);
      }
    }
    for (const [key, server] of wanted) {
      if (!this.#duties.has(key)) {
        this.#start(key, assignment.group, server);
      }
    }
  }

  /** Stops renewing a lease for good under the fence that the request names and below it. */
  withdraw(request: WithdrawRequest): WithdrawReply {
    const key = dutyKey(request.group, request.serverAddress);
    const duty = this.#duties.get(key);
    this.#withdrawnFences.set(key, Math.max(request.renewerFence, this.#withdrawnFences.get(key) ?? 0));
    if (duty === undefined || duty.server.renewerFence > request.renewerFence) {
      return { incarnation: this.#self.incarnation, lapseMilliseconds: SAFE_LAPSE_MILLISECONDS };
    }
    this.#end(key, duty);
    return { incarnation: this.#self.incarnation, lapseMilliseconds: remainingLease(duty) };
  }

  /** Answers gateways that ask for the right to send to servers which check no fences. */
  renewRoutes(request: RenewRoutesRequest): RenewRoutesReply {
    const isGranted = request.routes.map((route) => {
      const duty = this.#duties.get(dutyKey(route.group, route.serverAddress));
      const newestRevision = this.#newestRevisions.get(route.group) ?? 0;
      return (
        duty?.server.fenceSupport === 'unchecked' &&
        duty.server.renewerFence === route.renewerFence &&
        duty.routes.request(request.entryVmId, route, newestRevision)
      );
    });
    return { incarnation: this.#self.incarnation, isGranted };
  }

  /** States how long each server of a group has been silent. */
  report(group: string): readonly ServerReport[] {
    const now = performance.now();
    return [...this.#duties.values()]
      .filter((duty) => duty.group === group)
      .map((duty) => ({
        address: duty.server.address,
        renewerFence: duty.server.renewerFence,
        silentMilliseconds: Math.round(now - (duty.lastAnswerAt ?? duty.startedAt)),
        incarnation: duty.state?.incarnation ?? '',
        isLeaving: duty.state?.isLeaving ?? false,
        settledRevision: duty.routes.settledRevision(this.#newestRevisions.get(group) ?? 0),
      }));
  }

  #isNamed(server: ServerRecord): boolean {
    return (
      server.phase !== 'lost' &&
      server.renewers.some(
        ({ id, incarnation }) => id === this.#self.id && incarnation === this.#self.incarnation,
      )
    );
  }

  #isWithdrawn(group: string, server: ServerRecord): boolean {
    return server.renewerFence <= (this.#withdrawnFences.get(dutyKey(group, server.address)) ?? 0);
  }

  #start(key: string, group: string, server: ServerRecord): void {
    const loop = repeat(
      () => leaseTiming.renewalPauseMilliseconds,
      () => this.#renew(duty),
      (error) => {
        this.#logger.log('debug', 'renewal-failed', { server: server.address, error: describeError(error) });
      },
    );
    const duty: Duty = {
      group,
      server,
      startedAt: performance.now(),
      loop: this.#loops.add(loop),
      routes: new RouteGrants(),
      lastAnswerAt: undefined,
      state: undefined,
    };
    this.#duties.set(key, duty);
    void this.#renew(duty).catch(() => undefined);
  }

  #end(key: string, duty: Duty): void {
    duty.loop.dispose();
    this.#duties.delete(key);
  }

  async #renew(duty: Duty): Promise<void> {
    const { server, group } = duty;
    const answer = await this.#servers.order(
      server.address,
      {
        kind: 'renew',
        group,
        incarnation: server.incarnation,
        epoch: server.epoch,
        renewerFence: server.renewerFence,
        validUntilMilliseconds: leaseEnd(duty),
      },
      leaseTiming.renewalTimeoutMilliseconds,
    );
    if (this.#duties.get(dutyKey(group, server.address)) !== duty) {
      return;
    }
    if (answer.kind === 'unchecked') {
      duty.lastAnswerAt = performance.now();
      return;
    }
    const isFirstAcceptance = answer.state.accepted && duty.state?.accepted !== true;
    duty.state = answer.state;
    duty.lastAnswerAt = performance.now();
    if (isFirstAcceptance) {
      await this.#renew(duty);
    }
  }
}

function dutyKey(group: string, address: string): string {
  return `${group} ${address}`;
}

function isSameDuty(current: ServerRecord, wanted: ServerRecord | undefined): boolean {
  return (
    wanted?.renewerFence === current.renewerFence &&
    wanted.epoch === current.epoch &&
    wanted.incarnation === current.incarnation
  );
}

/** The lease is counted from a time that the server itself stated, so that a delayed renewal grants nothing. */
function leaseEnd(duty: Duty): number {
  return duty.state?.accepted === true ? duty.state.clockMilliseconds + leaseTiming.leaseMilliseconds : 0;
}

function remainingLease(duty: Duty): number {
  if (duty.server.fenceSupport === 'unchecked') {
    return duty.routes.remainingMilliseconds();
  }
  if (duty.lastAnswerAt === undefined || duty.state?.accepted !== true) {
    return SAFE_LAPSE_MILLISECONDS;
  }
  const elapsed = performance.now() - duty.lastAnswerAt;
  return Math.max(0, Math.ceil(SAFE_LAPSE_MILLISECONDS - elapsed));
}
