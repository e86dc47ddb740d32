import { type KeyHasher, rendezvousScore } from '@hickoryhoist/base/common/keyHash.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { Member } from './observations.js';

/** Number of renewers of each server. */
export const RENEWERS_PER_SERVER = 2;

/** The server whose lease is to be renewed. */
export interface RenewedServer {
  readonly address: string;
  readonly availabilityZone: string;
  /** Entry VM on which the server runs, if any. It is not selected as long as there are others. */
  readonly entryVmId: string | undefined;
  /**
   * Entry VM that runs the assigner. Others are preferred, because the keys would move late if the assigner failed
   * together with the server and were also one of its renewers.
   */
  readonly assignerId: string;
}

/**
 * Selects the renewers of a server among the members that are not leaving. In order of importance, it prefers entry VMs
 * that do not run the assigner, that are outside the server's availability zone, that are not in the zone of the other
 * renewer, and that are renewers already. Ties are broken by rendezvous hashing.
 */
export function selectRenewers(
  hasher: KeyHasher,
  server: RenewedServer,
  current: readonly EntryVm[],
  members: readonly Member[],
): readonly EntryVm[] {
  const eligible = members.filter(({ isLeaving }) => !isLeaving).map(({ entryVm }) => entryVm);
  const others = eligible.filter(({ id }) => id !== server.entryVmId);
  const candidates = others.length > 0 ? others : eligible;
  const selected: EntryVm[] = [];
  while (selected.length < Math.min(RENEWERS_PER_SERVER, candidates.length)) {
    const rest = candidates.filter((candidate) => !selected.includes(candidate));
    const best = rest
      .map((candidate) => ({ candidate, score: score(hasher, server, current, selected, candidate) }))
      .reduce((left, right) => (right.score > left.score ? right : left));
    selected.push(best.candidate);
  }
  return selected;
}

function score(
  hasher: KeyHasher,
  server: RenewedServer,
  current: readonly EntryVm[],
  selected: readonly EntryVm[],
  candidate: EntryVm,
): number {
  const isInOtherZone = candidate.availabilityZone !== server.availabilityZone;
  const isInUnusedZone = selected.every(
    ({ availabilityZone }) => availabilityZone !== candidate.availabilityZone,
  );
  const isCurrent = current.some(
    ({ id, incarnation }) => id === candidate.id && incarnation === candidate.incarnation,
  );
  const isNotAssigner = candidate.id !== server.assignerId;
  const preference =
    (isNotAssigner ? 8 : 0) + (isInOtherZone ? 4 : 0) + (isInUnusedZone ? 2 : 0) + (isCurrent ? 1 : 0);
  return preference + rendezvousScore(hasher, server.address, candidate.id) / 2 ** 48;
}
