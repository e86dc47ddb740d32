import { type KeyHasher, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  type Assignment,
  type EntryVm,
  NO_OWNER,
  ownerOfUnit,
  type ServerRecord,
} from '@hickoryhoist/protocol/common/assignment.js';
import { AssignmentDraft } from './assignmentDraft.js';
import type { BalancePolicy } from './balancePolicy.js';
import { hasGivenUp, type Observations, type ServerObservation, type DesiredServer } from './observations.js';
import { selectRenewers } from './renewerSelection.js';

/** Decides the next revision of an assignment. It is pure: the same inputs give the same draft. */
export class AssignmentPlanner {
  readonly #hasher: KeyHasher;
  readonly #balance: BalancePolicy;

  constructor(hasher: KeyHasher, balance: BalancePolicy) {
    this.#hasher = hasher;
    this.#balance = balance;
  }

  plan(base: Assignment, observations: Observations): AssignmentDraft {
    const draft = new AssignmentDraft(base);
    for (const wanted of observations.desiredServers) {
      this.#planWanted(draft, wanted, observations);
    }
    for (const server of draft.servers) {
      this.#planServer(draft, server, observations);
    }
    completeReleases(draft, observations);
    this.#placeUnits(draft, observations);
    return draft;
  }

  #planWanted(draft: AssignmentDraft, wanted: DesiredServer, observations: Observations): void {
    const observation = observations.servers.get(wanted.address);
    if (observation?.isReachable !== true) {
      return;
    }
    const server = draft.findServer(wanted.address);
    if (server === undefined || server.phase === 'lost' || server.incarnation !== observation.incarnation) {
      draft.putServer(this.#admit(draft, wanted, observation, server, observations));
    }
  }

  #admit(
    draft: AssignmentDraft,
    wanted: DesiredServer,
    observation: ServerObservation,
    earlier: ServerRecord | undefined,
    observations: Observations,
  ): ServerRecord {
    return {
      number: earlier?.number ?? draft.nextServerNumber(),
      address: wanted.address,
      availabilityZone: wanted.availabilityZone,
      incarnation: observation.incarnation,
      fenceSupport: observation.fenceSupport,
      phase: wanted.isLeaving || observation.isLeaving ? 'leaving' : 'serving',
      epoch: draft.revision,
      renewerFence: draft.revision,
      renewers: this.#selectRenewers(wanted.address, wanted, earlier?.renewers ?? [], observations),
      possibleRenewers: [],
    };
  }

  #planServer(draft: AssignmentDraft, server: ServerRecord, observations: Observations): void {
    const observation = observations.servers.get(server.address);
    if (server.phase === 'lost' || observation === undefined) {
      this.#removeUnwanted(draft, server, observations);
      return;
    }
    if (observation.expiredFence === server.renewerFence) {
      draft.putServer({ ...server, phase: 'lost', renewers: [], possibleRenewers: [] });
      return;
    }
    const next = this.#maintain(draft, server, observation, observations);
    if (next !== server) {
      draft.putServer(next);
    }
    this.#removeUnwanted(draft, next, observations);
  }

  #maintain(
    draft: AssignmentDraft,
    server: ServerRecord,
    observation: ServerObservation,
    observations: Observations,
  ): ServerRecord {
    const wanted = observations.desiredServers.find(({ address }) => address === server.address);
    const isLeaving = wanted === undefined || wanted.isLeaving || observation.isLeaving;
    const phase = isLeaving ? 'leaving' : 'serving';
    let next = phase === server.phase ? server : { ...server, phase: phase as ServerRecord['phase'] };
    if (next.possibleRenewers.length > 0 && observation.adoptedRenewerFence >= next.renewerFence) {
      next = { ...next, possibleRenewers: [] };
    }
    return this.#maintainRenewers(draft, next, observation, observations);
  }

  /** Renewers change only while the server answers, since it must adopt the new ones itself. */
  #maintainRenewers(
    draft: AssignmentDraft,
    server: ServerRecord,
    observation: ServerObservation,
    observations: Observations,
  ): ServerRecord {
    if (!observation.isReachable || !observations.isStartupComplete) {
      return server;
    }
    const isWithdrawing = observation.revokingFence === server.renewerFence;
    const wanted = observations.desiredServers.find(({ address }) => address === server.address);
    const renewers = this.#selectRenewers(
      server.address,
      { ...server, ...wanted },
      server.renewers,
      observations,
    );
    if (renewers.length === 0 || (!isWithdrawing && isSameSet(renewers, server.renewers))) {
      return server;
    }
    return {
      ...server,
      renewers,
      renewerFence: draft.revision,
      possibleRenewers: mergeEntryVms(server.possibleRenewers, server.renewers),
    };
  }

  #selectRenewers(
    address: string,
    subject: { readonly availabilityZone: string; readonly entryVmId?: string | undefined },
    current: readonly EntryVm[],
    observations: Observations,
  ): readonly EntryVm[] {
    const { availabilityZone, entryVmId } = subject;
    return selectRenewers(
      this.#hasher,
      { address, availabilityZone, entryVmId, assignerId: observations.assignerId },
      current,
      observations.members,
    );
  }

  #removeUnwanted(draft: AssignmentDraft, server: ServerRecord, observations: Observations): void {
    const isWanted = observations.desiredServers.some(({ address }) => address === server.address);
    const isSuccessor = draft.releases.some(({ successor }) => successor === server.number);
    if (!isWanted && !isSuccessor && !draft.ownsAny(server.number)) {
      draft.removeServer(server.number);
    }
  }

  /** A key is pinned where it is, and returns to its slice only where the slice is, so that no owner changes. */
  #planPins(draft: AssignmentDraft, { load }: Observations): void {
    for (const keyHash of this.#balance.unpins(draft, load)) {
      const pin = draft.pins.find((other) => other.keyHash === keyHash);
      const isReleasing = draft.isReleasing({ unit: { $case: 'pin', value: keyHash } });
      if (pin !== undefined && !isReleasing && steadySliceOwner(draft, keyHash) === pin.owner) {
        draft.removePin(keyHash);
      }
    }
    for (const keyHash of this.#balance.pins(draft, load)) {
      const owner = steadySliceOwner(draft, keyHash);
      if (owner !== undefined && owner !== NO_OWNER) {
        draft.assign({ unit: { $case: 'pin', value: keyHash } }, owner);
      }
    }
  }

  #placeUnits(draft: AssignmentDraft, observations: Observations): void {
    const servers = draft.servers.filter(({ phase }) => phase === 'serving');
    if (servers.length === 0) {
      return;
    }
    const lostNumbers = draft.servers.filter(({ phase }) => phase === 'lost').map(({ number }) => number);
    const homeless = [...draft.unownedUnits(), ...lostNumbers.flatMap((number) => draft.unitsOf(number))];
    for (const { unit, owner } of this.#balance.place(draft, homeless, observations.load)) {
      draft.assign(unit, owner);
    }
    this.#planPins(draft, observations);
    for (const { unit, owner } of this.#balance.move(draft, observations.load)) {
      draft.release(unit, owner);
    }
  }
}

/** Owner of the slice of a key while nothing is about to change there. */
function steadySliceOwner(draft: AssignmentDraft, keyHash: string): number | undefined {
  const slice = sliceOf(keyHash, draft.owners.length);
  const isReleasing = draft.isReleasing({ unit: { $case: 'slice', value: slice } });
  return isReleasing ? undefined : draft.owners[slice];
}

/** Ends hand-overs whose owner has drained, or whose successor can no longer take the unit. */
function completeReleases(draft: AssignmentDraft, observations: Observations): void {
  const servers = new Map(draft.servers.map((server) => [server.number, server]));
  for (const { unit, successor, sinceRevision } of draft.releases) {
    const owner = servers.get(ownerOfUnit(draft, unit));
    const target = servers.get(successor);
    const observation = owner === undefined ? undefined : observations.servers.get(owner.address);
    const isDrained =
      owner !== undefined &&
      (owner.epoch > sinceRevision ||
        (observation !== undefined && hasGivenUp(observation, unit, sinceRevision, draft.owners.length)));
    if (target?.phase !== 'serving') {
      draft.cancelRelease(unit);
    } else if (isDrained && owner.phase !== 'lost') {
      draft.assign(unit, successor);
    }
  }
}

function isSameSet(left: readonly EntryVm[], right: readonly EntryVm[]): boolean {
  const names = new Set(right.map(entryVmName));
  return left.length === right.length && left.every((entryVm) => names.has(entryVmName(entryVm)));
}

function mergeEntryVms(left: readonly EntryVm[], right: readonly EntryVm[]): readonly EntryVm[] {
  return [...new Map([...left, ...right].map((entryVm) => [entryVmName(entryVm), entryVm])).values()];
}

function entryVmName({ id, incarnation }: EntryVm): string {
  return `${id}/${incarnation}`;
}
