import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { GrantSender } from './grantSender.js';
import { LeaseRevocation } from './leaseRevocation.js';
import { leaseTiming } from './leaseTiming.js';
import type { FollowerSession } from './memberRegistry.js';
import type { ServerObservation } from './observations.js';
import type { PeerClient } from './peerClient.js';
import type { ServerClient } from './serverClient.js';

/** Observes one server through the assigner's own commands and the reports of the renewers. */
export class ServerObserver extends DisposableBase {
  readonly #address: string;
  readonly #group: string;
  readonly #peers: PeerClient;
  readonly #grantSender: GrantSender;
  readonly #startedAt = performance.now();
  #revocation: LeaseRevocation | undefined;
  #replacedRenewersRevocation: LeaseRevocation | undefined;

  constructor(address: string, group: string, servers: ServerClient, peers: PeerClient) {
    super();
    this.#address = address;
    this.#group = group;
    this.#peers = peers;
    this.#grantSender = this.register(new GrantSender(address, servers));
  }

  /** Entry VMs that must still confirm a revocation before the server's keys may move. */
  get unconfirmedRenewers(): readonly EntryVm[] {
    return [
      ...(this.#revocation?.unconfirmedRenewers ?? []),
      ...(this.#replacedRenewersRevocation?.unconfirmedRenewers ?? []),
    ];
  }

  applyAssignment(assignment: Assignment): void {
    this.#grantSender.applyAssignment(assignment);
  }

  confirmLost(entryVmId: string, incarnation: string): boolean {
    const revocations = [this.#revocation, this.#replacedRenewersRevocation];
    return revocations.map((revocation) => revocation?.confirmLost(entryVmId, incarnation)).includes(true);
  }

  /** Revokes the right of replaced renewers to grant route leases for a server that does not support fencing. */
  #updateReplacedRenewersRevocation(record: ServerRecord | undefined): void {
    const isNeeded = record?.fenceSupport === 'unchecked' && record.possibleRenewers.length > 0;
    if (
      record === undefined ||
      !isNeeded ||
      this.#replacedRenewersRevocation?.renewerFence !== record.renewerFence - 1
    ) {
      this.#replacedRenewersRevocation?.dispose();
      this.#replacedRenewersRevocation = undefined;
    }
    if (record !== undefined && isNeeded) {
      const replaced = { ...record, renewers: [], renewerFence: record.renewerFence - 1 };
      this.#replacedRenewersRevocation ??= new LeaseRevocation(this.#group, replaced, this.#peers);
    }
  }

  #adoptedRenewerFence(record: ServerRecord | undefined): number {
    const state = this.#grantSender.state;
    if (record?.fenceSupport === 'unchecked') {
      return this.#replacedRenewersRevocation?.isExpired === true ? record.renewerFence : 0;
    }
    return state?.epoch === record?.epoch ? (state?.renewerFence ?? 0) : 0;
  }

  #acknowledgedRevision(record: ServerRecord | undefined, reports: FollowerSession['servers']): number {
    if (record?.fenceSupport !== 'unchecked') {
      return this.#grantSender.acknowledgedRevision;
    }
    const isComplete = reports.length === record.renewers.length && record.possibleRenewers.length === 0;
    return isComplete ? Math.min(...reports.map(({ settledRevision }) => settledRevision)) : 0;
  }

  /** Starts or ends a revocation according to the newest reports. */
  update(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): void {
    this.#grantSender.setMonitored(this.#isReachableFromRenewers(record, sessions));
    this.#updateReplacedRenewersRevocation(record);
    const isObsolete =
      this.#revocation !== undefined && this.#revocation.renewerFence !== record?.renewerFence;
    if (isObsolete || record?.phase === 'lost') {
      this.#endRevocation();
    }
    if (record === undefined || record.phase === 'lost' || this.#revocation !== undefined) {
      return;
    }
    if (this.#isSuspected(record, sessions)) {
      this.#revocation = new LeaseRevocation(this.#group, record, this.#peers);
    }
  }

  observe(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): ServerObservation {
    const state = this.#grantSender.state;
    const reports = this.#reports(record, sessions);
    return {
      address: this.#address,
      incarnation: state?.incarnation ?? '',
      fenceSupport: this.#grantSender.fenceSupport,
      isLeaving:
        state?.isLeaving === true ||
        // A renewer may have heard only the process before the present one.
        reports.some((report) => report.isLeaving && report.incarnation === state?.incarnation),
      isReachable: this.#isReachable(record, sessions),
      isSuspected: record !== undefined && this.#isSuspected(record, sessions),
      acknowledgedRevision: this.#acknowledgedRevision(record, reports),
      drainingKeys: state?.drainingKeys ?? [],
      adoptedRenewerFence: this.#adoptedRenewerFence(record),
      revokingFence: this.#revocation?.renewerFence ?? 0,
      expiredFence: this.#revocation?.isExpired === true ? this.#revocation.renewerFence : 0,
    };
  }

  override dispose(): void {
    this.#endRevocation();
    this.#replacedRenewersRevocation?.dispose();
    super.dispose();
  }

  #endRevocation(): void {
    this.#revocation?.dispose();
    this.#revocation = undefined;
  }

  /** Whether a renewer reports that the incarnation known to this assigner responds. */
  #isReachableFromRenewers(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): boolean {
    const incarnation = this.#grantSender.state?.incarnation ?? '';
    return this.#reports(record, sessions).some(
      (report) =>
        report.silentMilliseconds < leaseTiming.suspicionTimeoutMilliseconds &&
        report.incarnation === incarnation,
    );
  }

  #isReachable(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): boolean {
    const { lastResponseAt } = this.#grantSender;
    const isReachableFromHere =
      lastResponseAt !== undefined &&
      performance.now() - lastResponseAt < leaseTiming.suspicionTimeoutMilliseconds;
    return isReachableFromHere || this.#isReachableFromRenewers(record, sessions);
  }

  #isSuspected(record: ServerRecord, sessions: readonly FollowerSession[]): boolean {
    const reports = this.#reports(record, sessions);
    const isUnresponsiveForAll = reports.every(
      ({ silentMilliseconds }) => silentMilliseconds >= leaseTiming.suspicionTimeoutMilliseconds,
    );
    const hasAllReports = reports.length > 0 && reports.length === record.renewers.length;
    const hasObservedLongEnough =
      performance.now() - this.#startedAt >= leaseTiming.suspicionTimeoutMilliseconds;
    return (
      isUnresponsiveForAll && (hasAllReports || hasObservedLongEnough) && !this.#isReachable(record, sessions)
    );
  }

  #reports(
    record: ServerRecord | undefined,
    sessions: readonly FollowerSession[],
  ): FollowerSession['servers'] {
    return sessions
      .flatMap(({ servers }) => servers)
      .filter(
        ({ address, renewerFence }) => address === this.#address && renewerFence === record?.renewerFence,
      );
  }
}
