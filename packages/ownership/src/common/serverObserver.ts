import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { leaseTiming } from './leaseTiming.js';
import type { FollowerSession } from './memberRegistry.js';
import type { ServerObservation } from './observations.js';
import type { PeerClient } from './peerClient.js';
import type { ServerClient } from './serverClient.js';
import { ServerContact } from './serverContact.js';
import { Withdrawal } from './withdrawal.js';

/** What is known of one server: the assigner's own contact and the reports of the renewers. */
export class ServerObserver extends DisposableBase {
  readonly #address: string;
  readonly #group: string;
  readonly #peers: PeerClient;
  readonly #contact: ServerContact;
  readonly #startedAt = performance.now();
  #withdrawal: Withdrawal | undefined;
  #retirement: Withdrawal | undefined;

  constructor(address: string, group: string, servers: ServerClient, peers: PeerClient) {
    super();
    this.#address = address;
    this.#group = group;
    this.#peers = peers;
    this.#contact = this.register(new ServerContact(address, servers));
  }

  /** Entry VMs whose word is missing before the server's keys may move. */
  get waitingFor(): readonly EntryVm[] {
    return [...(this.#withdrawal?.waitingFor ?? []), ...(this.#retirement?.waitingFor ?? [])];
  }

  follow(assignment: Assignment): void {
    this.#contact.follow(assignment);
  }

  confirmLost(entryVmId: string, incarnation: string): boolean {
    const withdrawals = [this.#withdrawal, this.#retirement];
    return withdrawals.map((withdrawal) => withdrawal?.confirmLost(entryVmId, incarnation)).includes(true);
  }

  /** Proves that replaced renewers of a server which checks no fences grant no routes any more. */
  #updateRetirement(record: ServerRecord | undefined): void {
    const isNeeded = record?.fenceSupport === 'unchecked' && record.possibleRenewers.length > 0;
    if (record === undefined || !isNeeded || this.#retirement?.renewerFence !== record.renewerFence - 1) {
      this.#retirement?.dispose();
      this.#retirement = undefined;
    }
    if (record !== undefined && isNeeded) {
      const replaced = { ...record, renewers: [], renewerFence: record.renewerFence - 1 };
      this.#retirement ??= new Withdrawal(this.#group, replaced, this.#peers);
    }
  }

  #adoptedRenewerFence(record: ServerRecord | undefined): number {
    const state = this.#contact.state;
    if (record?.fenceSupport === 'unchecked') {
      return this.#retirement?.isLapsed === true ? record.renewerFence : 0;
    }
    return state?.epoch === record?.epoch ? (state?.renewerFence ?? 0) : 0;
  }

  #acknowledgedRevision(record: ServerRecord | undefined, reports: FollowerSession['servers']): number {
    if (record?.fenceSupport !== 'unchecked') {
      return this.#contact.acknowledgedRevision;
    }
    const isComplete = reports.length === record.renewers.length && record.possibleRenewers.length === 0;
    return isComplete ? Math.min(...reports.map(({ settledRevision }) => settledRevision)) : 0;
  }

  /** Begins or ends a withdrawal according to the newest reports. */
  update(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): void {
    this.#contact.setCalm(this.#isHeardByRenewers(record, sessions));
    this.#updateRetirement(record);
    const isObsolete =
      this.#withdrawal !== undefined && this.#withdrawal.renewerFence !== record?.renewerFence;
    if (isObsolete || record?.phase === 'lost') {
      this.#endWithdrawal();
    }
    if (record === undefined || record.phase === 'lost' || this.#withdrawal !== undefined) {
      return;
    }
    if (this.#isSilent(record, sessions)) {
      this.#withdrawal = new Withdrawal(this.#group, record, this.#peers);
    }
  }

  observe(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): ServerObservation {
    const state = this.#contact.state;
    const reports = this.#reports(record, sessions);
    return {
      address: this.#address,
      incarnation: state?.incarnation ?? '',
      fenceSupport: this.#contact.fenceSupport,
      isLeaving: state?.isLeaving === true || reports.some(({ isLeaving }) => isLeaving),
      isReachable: this.#isAnswering(record, sessions),
      isSuspected: record !== undefined && this.#isSilent(record, sessions),
      acknowledgedRevision: this.#acknowledgedRevision(record, reports),
      drainingKeys: state?.drainingKeys ?? [],
      adoptedRenewerFence: this.#adoptedRenewerFence(record),
      revokingFence: this.#withdrawal?.renewerFence ?? 0,
      expiredFence: this.#withdrawal?.isLapsed === true ? this.#withdrawal.renewerFence : 0,
    };
  }

  override dispose(): void {
    this.#endWithdrawal();
    this.#retirement?.dispose();
    super.dispose();
  }

  #endWithdrawal(): void {
    this.#withdrawal?.dispose();
    this.#withdrawal = undefined;
  }

  /** Whether a renewer reports that the incarnation that this assigner knows answers. */
  #isHeardByRenewers(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): boolean {
    const incarnation = this.#contact.state?.incarnation ?? '';
    return this.#reports(record, sessions).some(
      (report) =>
        report.silentMilliseconds < leaseTiming.suspicionMilliseconds && report.incarnation === incarnation,
    );
  }

  #isAnswering(record: ServerRecord | undefined, sessions: readonly FollowerSession[]): boolean {
    const { lastAnswerAt } = this.#contact;
    const isHeardHere =
      lastAnswerAt !== undefined && performance.now() - lastAnswerAt < leaseTiming.suspicionMilliseconds;
    return isHeardHere || this.#isHeardByRenewers(record, sessions);
  }

  #isSilent(record: ServerRecord, sessions: readonly FollowerSession[]): boolean {
    const reports = this.#reports(record, sessions);
    const isSilentForAll = reports.every(
      ({ silentMilliseconds }) => silentMilliseconds >= leaseTiming.suspicionMilliseconds,
    );
    const isKnownToAll = reports.length > 0 && reports.length === record.renewers.length;
    const isKnownHere = performance.now() - this.#startedAt >= leaseTiming.suspicionMilliseconds;
    return isSilentForAll && (isKnownToAll || isKnownHere) && !this.#isAnswering(record, sessions);
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
