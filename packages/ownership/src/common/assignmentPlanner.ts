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
import {
  type DesiredServer,
  hasReleased,
  type Observations,
  type ServerObservation,
} from './observations.js';
import { selectRenewers } from './renewerSelection.js';

/** Plans the next revision of an assignment from the current revision and the observations. */
export class AssignmentPlanner {
  readonly #hasher: KeyHasher;
  readonly #balance: BalancePolicy;

  constructor(hasher: KeyHasher, balance: BalancePolicy) {
    this.#hasher = hasher;
    this.#balance = balance;
  }

  plan(base: Assignment, observations: Observations): AssignmentDraft {
    const draft = new AssignmentDraft(base);
    for (const desired of observations.desiredServers) {
      this.#planDesiredServer(draft, desired, observations);
    }
    for (const server of draft.servers) {
      this.#planServer(draft, server, observations);
    }
    completeReleases(draft, observations);
    this.#placeUnits(draft, observations);
    return draft;
  }

  #planDesiredServer(draft: AssignmentDraft, desired: DesiredServer, observations: Observations): void {
    const observation = observations.servers.get(desired.address);
    if (observation?.isReachable !== true) {
      return;
    }
    const server = draft.findServer(desired.address);
    if (server === undefined || server.phase === 'lost' || server.incarnation !== observation.incarnation) {
      draft.putServer(this.#admitServer(draft, desired, observation, server, observations));
    }
  }

  #admitServer(
    draft: AssignmentDraft,
    desired: DesiredServer,
    observation: ServerObservation,
    previous: ServerRecord | undefined,
    observations: Observations,
  ): ServerRecord {
    return {
      number: previous?.number ?? draft.nextServerNumber(),
      address: desired.address,
      availabilityZone: desired.availabilityZone,
      incarnation: observation.incarnation,
      fenceSupport: observation.fenceSupport,
      phase: desired.isLeaving || observation.isLeaving ? 'leaving' : 'serving',
      epoch: draft.revision,
      renewerFence: draft.revision,
      renewers: this.#selectRenewers(desired.address, desired, previous?.renewers ?? [], observations),
      possibleRenewers: [],
    };
  }

  #planServer(draft: AssignmentDraft, server: ServerRecord, observations: Observations): void {
    const observation = observations.servers.get(server.address);
    if (server.phase === 'lost' || observation === undefined) {
      this.#removeIfUnused(draft, server, observations);
      return;
    }
    if (observation.expiredFence === server.renewerFence) {
      draft.putServer({ ...server, phase: 'lost', renewers: [], possibleRenewers: [] });
      return;
    }
    const next = this.#updateServer(draft, server, observation, observations);
    if (next !== server) {
      draft.putServer(next);
    }
    this.#removeIfUnused(draft, next, observations);
  }

  #updateServer(
    draft: AssignmentDraft,
    server: ServerRecord,
    observation: ServerObservation,
    observations: Observations,
  ): ServerRecord {
    const desired = observations.desiredServers.find(({ address }) => address === server.address);
    const isLeaving = desired === undefined || desired.isLeaving || observation.isLeaving;
    const phase = isLeaving ? 'leaving' : 'serving';
    let next = phase === server.phase ? server : { ...server, phase: phase as ServerRecord['phase'] };
    if (next.possibleRenewers.length > 0 && observation.adoptedRenewerFence >= next.renewerFence) {
      next = { ...next, possibleRenewers: [] };
    }
    return this.#updateRenewers(draft, next, observation, observations);
  }

  /** Replaces renewers only while the server is reachable, because the server itself must adopt the new fence. */
  #updateRenewers(
    draft: AssignmentDraft,
    server: ServerRecord,
    observation: ServerObservation,
    observations: Observations,
  ): ServerRecord {
    if (!observation.isReachable || !observations.isStartupComplete) {
      return server;
    }
    const isRevoking = observation.revokingFence === server.renewerFence;
    const desired = observations.desiredServers.find(({ address }) => address === server.address);
    const renewers = this.#selectRenewers(
      server.address,
      { ...server, ...desired },
      server.renewers,
      observations,
    );
    if (renewers.length === 0 || (!isRevoking && isSameSet(renewers, server.renewers))) {
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
    placement: { readonly availabilityZone: string; readonly entryVmId?: string | undefined },
    current: readonly EntryVm[],
    observations: Observations,
  ): readonly EntryVm[] {
    const { availabilityZone, entryVmId } = placement;
    return selectRenewers(
      this.#hasher,
      { address, availabilityZone, entryVmId, assignerId: observations.assignerId },
      current,
      observations.members,
    );
  }

  #removeIfUnused(draft: AssignmentDraft, server: ServerRecord, observations: Observations): void {
    const isDesired = observations.desiredServers.some(({ address }) => address === server.address);
    const isSuccessor = draft.releases.some(({ successor }) => successor === server.number);
    if (!isDesired && !isSuccessor && !draft.ownsAny(server.number)) {
      draft.removeServer(server.number);
    }
  }

  /**
   * Pins a key to the owner of its slice, and unpins it only while it has the same owner as its slice. Neither
   * changes the owner of the key.
   */
  #planPins(draft: AssignmentDraft, { load }: Observations): void {
    for (const keyHash of this.#balance.selectKeysToUnpin(draft, load)) {
      const pin = draft.pins.find((other) => other.keyHash === keyHash);
      const isReleasing = draft.isReleasing({ unit: { $case: 'pin', value: keyHash } });
      if (pin !== undefined && !isReleasing && stableSliceOwner(draft, keyHash) === pin.owner) {
        draft.removePin(keyHash);
      }
    }
    for (const keyHash of this.#balance.selectKeysToPin(draft, load)) {
      const owner = stableSliceOwner(draft, keyHash);
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
    const unplaced = [...draft.unownedUnits(), ...lostNumbers.flatMap((number) => draft.unitsOf(number))];
    for (const { unit, owner } of this.#balance.placeUnits(draft, unplaced, observations.load)) {
      draft.assign(unit, owner);
    }
    this.#planPins(draft, observations);
    for (const { unit, owner } of this.#balance.planMoves(draft, observations.load)) {
      draft.release(unit, owner);
    }
  }
}

/** Returns the owner of a key's slice, or undefined while the slice is being transferred. */
function stableSliceOwner(draft: AssignmentDraft, keyHash: string): number | undefined {
  const slice = sliceOf(keyHash, draft.owners.length);
  const isReleasing = draft.isReleasing({ unit: { $case: 'slice', value: slice } });
  return isReleasing ? undefined : draft.owners[slice];
}

/** Completes transfers whose owner has released the unit, and cancels those whose successor is not serving. */
function completeReleases(draft: AssignmentDraft, observations: Observations): void {
  const servers = new Map(draft.servers.map((server) => [server.number, server]));
  for (const { unit, successor, sinceRevision } of draft.releases) {
    const owner = servers.get(ownerOfUnit(draft, unit));
    const successorServer = servers.get(successor);
    const observation = owner === undefined ? undefined : observations.servers.get(owner.address);
    const isReleased =
      owner !== undefined &&
      (owner.epoch > sinceRevision ||
        (observation !== undefined && hasReleased(observation, unit, sinceRevision, draft.owners.length)));
    if (successorServer?.phase !== 'serving') {
      draft.cancelRelease(unit);
    } else if (isReleased && owner.phase !== 'lost') {
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
