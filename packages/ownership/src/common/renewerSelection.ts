import { type KeyHasher, rendezvousScore } from '@hickoryhoist/base/common/keyHash.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { Member } from './observations.js';

/** Renewers named for each server. */
export const RENEWERS_PER_SERVER = 2;

/** The server whose lease is to be renewed. */
export interface RenewalSubject {
  readonly address: string;
  readonly availabilityZone: string;
  /** Entry VM that must not renew, because the subject runs on it. */
  readonly entryVmId: string | undefined;
  /** Entry VM that runs the assigner; others go first, so that losing it together with the subject is not slow. */
  readonly assignerId: string;
}

/**
 * Chooses the renewers of a server. Renewers that are still fit stay; others are drawn by rendezvous hashing.
 * Entry VMs outside the server's availability zone go first, and two renewers are in two zones where possible.
 */
export function selectRenewers(
  hasher: KeyHasher,
  subject: RenewalSubject,
  current: readonly EntryVm[],
  members: readonly Member[],
): readonly EntryVm[] {
  const fit = members.filter(({ isLeaving }) => !isLeaving).map(({ entryVm }) => entryVm);
  const others = fit.filter(({ id }) => id !== subject.entryVmId);
  const candidates = others.length > 0 ? others : fit;
  const chosen: EntryVm[] = [];
  while (chosen.length < Math.min(RENEWERS_PER_SERVER, candidates.length)) {
    const rest = candidates.filter((candidate) => !chosen.includes(candidate));
    const best = rest
      .map((candidate) => ({ candidate, score: score(hasher, subject, current, chosen, candidate) }))
      .reduce((left, right) => (right.score > left.score ? right : left));
    chosen.push(best.candidate);
  }
  return chosen;
}

function score(
  hasher: KeyHasher,
  subject: RenewalSubject,
  current: readonly EntryVm[],
  chosen: readonly EntryVm[],
  candidate: EntryVm,
): number {
  const isOutside = candidate.availabilityZone !== subject.availabilityZone;
  const isApart = chosen.every(({ availabilityZone }) => availabilityZone !== candidate.availabilityZone);
  const isCurrent = current.some(
    ({ id, incarnation }) => id === candidate.id && incarnation === candidate.incarnation,
  );
  const isNoAssigner = candidate.id !== subject.assignerId;
  const preference = (isNoAssigner ? 8 : 0) + (isOutside ? 4 : 0) + (isApart ? 2 : 0) + (isCurrent ? 1 : 0);
  return preference + rendezvousScore(hasher, subject.address, candidate.id) / 2 ** 48;
}
