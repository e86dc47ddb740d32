import { DisposableBase, DisposableStore } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { type KeyHasher, rendezvousScore } from '@hickoryhoist/base/common/keyHash.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import { ConfigurationStore } from '@hickoryhoist/configuration/common/configurationStore.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import { type Assignment, assignmentSchema, type EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type {
  ConfirmLostReply,
  ConfirmLostRequest,
  FetchStateReply,
  FollowerReport,
  LoadReport,
  RenewRoutesReply,
  RenewRoutesRequest,
  WithdrawReply,
  WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { AssignmentPlanner } from './assignmentPlanner.js';
import { AssignmentStore } from './assignmentStore.js';
import { balanceOptionsFor } from './balanceWeights.js';
import { ConfigurationReplica, type ReadRole } from './configurationReplica.js';
import type { CrashExchange } from './crashExchange.js';
import { desiredServersOf, entryVmsAsServers } from './desiredServers.js';
import { GroupControl } from './groupControl.js';
import { LeaseRenewer } from './leaseRenewer.js';
import {
  defaultLoadBalanceOptions,
  type LoadBalanceOptions,
  LoadBalancePolicy,
} from './loadBalancePolicy.js';
import type { DesiredServer, Member } from './observations.js';
import { OwnershipHolder } from './ownershipHolder.js';
import type { FollowerConnection, FollowerListener, PeerClient, PeerHandler } from './peerClient.js';
import { PeerStateFetcher } from './peerStateFetcher.js';
import { PlatformPoller } from './platformPoller.js';
import { RouteLeases } from './routeLeases.js';
import type { ServerClient } from './serverClient.js';

/** Group whose servers are the entry VMs; its keys are idempotency keys. */
export const ENTRY_VM_GROUP = 'entry-vms';

const ENTRY_VM_SLICE_COUNT = 256;

/** Dependencies of the control of an entry VM. */
export interface EntryVmControlOptions {
  readonly self: EntryVm;
  readonly platform: Platform;
  readonly peers: PeerClient;
  readonly servers: ServerClient;
  readonly hasher: KeyHasher;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Control addresses of other entry VMs from which state is fetched when the store does not respond. */
  readonly seedAddresses: readonly string[];
  readonly loadReport: (group: string) => LoadReport | undefined;
  /** Exchanges crash-causing requests with the gateway of this entry VM. */
  readonly crashExchange: CrashExchange;
}

/** Runs the control tasks of one entry VM: its groups, lease renewals, configuration and peer calls. */
export class EntryVmControl extends DisposableBase implements PeerHandler {
  readonly #options: EntryVmControlOptions;
  readonly #groups = new Map<string, GroupControl>();
  readonly #groupStore = this.register(new DisposableStore());
  readonly #platformPoller: PlatformPoller;
  readonly #onDidChangeAssignment = this.register(new Emitter<Assignment>());
  readonly #peerStateFetcher: PeerStateFetcher;
  #isLeaving = false;

  readonly configuration: ConfigurationReplica;
  readonly renewer: LeaseRenewer;
  /** Route leases, under which this process may send to servers that do not support fencing. */
  readonly routeLeases: RouteLeases;
  /** Ownership of idempotency keys by this process. */
  readonly holder: OwnershipHolder;
  readonly onDidChangeAssignment = this.#onDidChangeAssignment.event;

  constructor(options: EntryVmControlOptions) {
    super();
    this.#options = options;
    const { platform, logger, random, self, servers } = options;
    this.renewer = this.register(new LeaseRenewer(self, servers, logger));
    this.routeLeases = this.register(
      new RouteLeases(self, options.peers, () =>
        this.groups.flatMap(({ follower }) =>
          follower.assignment === undefined ? [] : [follower.assignment],
        ),
      ),
    );
    this.holder = new OwnershipHolder({ incarnation: self.incarnation, now: () => performance.now() });
    this.configuration = this.register(
      new ConfigurationReplica(new ConfigurationStore(platform), random, () => this.#readRole(), logger),
    );
    this.#platformPoller = this.register(
      new PlatformPoller(platform, () => [...this.#groups.values()].some(isAssigning), logger),
    );
    this.register(
      this.configuration.onDidChange((configuration) => {
        this.#applyConfiguration(configuration);
      }),
    );
    this.#addGroup(ENTRY_VM_GROUP, ENTRY_VM_SLICE_COUNT, entryVmsAsServers);
    this.#peerStateFetcher = this.register(
      new PeerStateFetcher({
        peers: options.peers,
        isOtherAssignerReachable: () => this.#isOtherAssignerReachable(),
        areAllAssignersReachable: () => this.groups.every(({ follower }) => follower.hearsAssigner),
        choosePeerAddress: () => this.#choosePeerAddress(),
      }),
    );
    this.register(
      this.#peerStateFetcher.onDidReceiveState((state) => {
        this.#applyPeerState(state);
      }),
    );
  }

  get self(): EntryVm {
    return this.#options.self;
  }

  get groups(): readonly GroupControl[] {
    return [...this.#groups.values()];
  }

  /**
   * Whether neither the store nor another entry VM has responded for so long that the other entry VMs may use a newer
   * configuration.
   */
  get isIsolated(): boolean {
    return this.#knowsPeers() && this.#peerStateFetcher.isIsolated(this.configuration.lastStoreResponseAt);
  }

  assignment(group: string): Assignment | undefined {
    return this.#groups.get(group)?.follower.assignment;
  }

  isLeaving(address: string): boolean {
    return this.#platformPoller.isLeaving(address);
  }

  /** Announces the planned shutdown of this process, so that its keys and renewal tasks move to others. */
  leave(): void {
    this.#isLeaving = true;
    this.holder.leave();
  }

  acceptFollower(connection: FollowerConnection): FollowerListener {
    let listener: FollowerListener | undefined;
    const refuse = (): void => {
      connection.send({
        term: 0,
        isStoreReachable: false,
        isRefused: true,
        body: undefined,
        refusedFingerprints: [],
      });
    };
    return {
      onReport: (report: FollowerReport) => {
        listener ??= this.#groups.get(report.group)?.acceptFollower(connection);
        if (listener === undefined) {
          refuse();
          return;
        }
        listener.onReport(report);
      },
      onClose: () => listener?.onClose(),
    };
  }

  withdraw(request: WithdrawRequest): WithdrawReply {
    return this.renewer.withdraw(request);
  }

  renewRoutes(request: RenewRoutesRequest): RenewRoutesReply {
    return this.renewer.renewRoutes(request);
  }

  fetchState(): FetchStateReply {
    const current = this.configuration.current;
    return {
      configuration:
        current === undefined
          ? undefined
          : { revision: current.revision, snapshot: JSON.stringify(current.snapshot) },
      groups: this.groups.map(({ follower }) => ({
        assignment: follower.assignment,
        assignerAddress: follower.hearsAssigner ? (follower.assignerAddress ?? '') : '',
      })),
      entryVms: [this.#options.self],
    };
  }

  confirmLost({ entryVmId, incarnation }: ConfirmLostRequest): ConfirmLostReply {
    const confirmed = [...this.#groups].filter(
      ([, control]) => control.assigner?.confirmLost(entryVmId, incarnation) === true,
    );
    return { groups: confirmed.map(([group]) => group) };
  }

  #knowsPeers(): boolean {
    const others = this.assignment(ENTRY_VM_GROUP)?.servers.filter(
      ({ address }) => address !== this.#options.self.requestAddress,
    );
    return (others?.length ?? 0) > 0;
  }

  #readRole(): ReadRole {
    const entryVms = this.#groups.get(ENTRY_VM_GROUP);
    if (entryVms?.assigner !== undefined) {
      return 'distributor';
    }
    return entryVms?.follower.hearsAssigner === true ? 'follower' : 'disconnected';
  }

  #applyConfiguration({ snapshot, revision }: VersionedConfiguration): void {
    this.#options.logger.log('info', 'configuration-applied', { revision });
    for (const service of snapshot.services) {
      if (!this.#groups.has(service.name)) {
        this.#addGroup(service.name, sliceCountOf(service), () => this.#desiredServers(service.name));
      }
    }
  }

  #service(name: string): ServiceFile | undefined {
    return this.configuration.current?.snapshot.services.find((service) => service.name === name);
  }

  #balanceOptions(group: string): LoadBalanceOptions {
    const service = this.#service(group);
    return service?.kind === 'keyed' ? balanceOptionsFor(service.weights) : defaultLoadBalanceOptions;
  }

  #desiredServers(name: string): readonly DesiredServer[] {
    const service = this.#service(name);
    return service === undefined ? [] : desiredServersOf(service, this.#platformPoller);
  }

  #addGroup(
    group: string,
    sliceCount: number,
    desiredServers: (members: readonly Member[]) => readonly DesiredServer[],
  ): void {
    const { self, platform, servers, peers, logger, hasher, crashExchange } = this.#options;
    const control = this.#groupStore.add(
      new GroupControl({
        group,
        sliceCount,
        self,
        store: new AssignmentStore(platform.table, group),
        createPlanner: () =>
          new AssignmentPlanner(hasher, new LoadBalancePolicy(this.#balanceOptions(group))),
        servers,
        peers,
        logger,
        rank: () => this.#rankIn(group),
        desiredServers,
        configuration: () => this.configuration.current,
        findCrashingRequests: (suspects) => crashExchange.findCrashingRequests(suspects),
        reportDetails: () => ({
          configurationRevision: this.configuration.current?.revision ?? 0,
          isLeaving: this.#isLeaving,
          servers: this.renewer.report(group),
          load: this.#options.loadReport(group),
          crashSuspects: group === ENTRY_VM_GROUP ? [...crashExchange.report()] : [],
        }),
      }),
    );
    this.#groups.set(group, control);
    this.#groupStore.add(
      control.follower.onDidChangeAssignment((assignment) => {
        this.renewer.applyAssignment(assignment);
        this.#onDidChangeAssignment.fire(assignment);
      }),
    );
    if (group === ENTRY_VM_GROUP) {
      this.#groupStore.add(
        crashExchange.onDidRecordLoss(() => {
          control.follower.reportNow();
        }),
      );
      this.#groupStore.add(
        control.follower.onDidReceiveRefusedFingerprints((fingerprints) => {
          crashExchange.setRefusedFingerprints(fingerprints);
        }),
      );
    }
    this.#groupStore.add(
      control.follower.onDidReceiveConfiguration(({ revision, snapshot }) => {
        this.configuration.applySerializedIfNewer(revision, snapshot);
      }),
    );
  }

  /** Returns the rank of this process as a candidate, by rendezvous hashing over the known entry VMs. */
  #rankIn(group: string): number {
    const { hasher, self } = this.#options;
    const ownScore = rendezvousScore(hasher, group, self.requestAddress);
    const others = this.assignment(ENTRY_VM_GROUP)?.servers.filter(({ phase }) => phase === 'serving') ?? [];
    return others.filter(({ address }) => rendezvousScore(hasher, group, address) > ownScore).length;
  }

  #isOtherAssignerReachable(): boolean {
    const reachable = this.groups.filter(({ follower }) => follower.hearsAssigner);
    return reachable.some(({ follower }) => follower.assignerAddress !== this.#options.self.controlAddress);
  }

  #applyPeerState(state: FetchStateReply): void {
    if (state.configuration !== undefined) {
      this.configuration.applySerializedIfNewer(state.configuration.revision, state.configuration.snapshot);
    }
    for (const { assignment, assignerAddress } of state.groups) {
      this.#applyGroupState(assignmentSchema.optional().parse(assignment), assignerAddress);
    }
  }

  #applyGroupState(assignment: Assignment | undefined, assignerAddress: string): void {
    const follower = assignment === undefined ? undefined : this.#groups.get(assignment.group)?.follower;
    if (assignment === undefined || follower === undefined) {
      return;
    }
    follower.applyIfNewer(assignment);
    if (!follower.hearsAssigner && assignerAddress !== '') {
      follower.switchAssigner(assignerAddress);
    }
  }

  #choosePeerAddress(): string | undefined {
    const known = this.assignment(ENTRY_VM_GROUP)?.servers.flatMap(({ renewers }) => renewers) ?? [];
    const addresses = [...this.#options.seedAddresses, ...known.map(({ controlAddress }) => controlAddress)];
    const others = addresses.filter((address) => address !== this.#options.self.controlAddress);
    return others.length === 0 ? undefined : this.#options.random.pick(others);
  }
}

/** Returns the slice count of a service. A pooled service has no keys; its group only monitors its servers. */
function sliceCountOf(service: ServiceFile): number {
  switch (service.kind) {
    case 'keyed':
      return service.sliceCount;
    case 'pooled':
      return 0;
  }
}

function isAssigning(control: GroupControl): boolean {
  return control.assigner !== undefined;
}
