import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  type Assignment,
  type ServerRecord,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';
import type { OwnershipGrant } from '@hickoryhoist/protocol/common/serverMessages.js';

/** Builds the grant of everything that a server owns under an assignment, without the units that it must release. */
export function grantFor(assignment: Assignment, server: ServerRecord): OwnershipGrant {
  const releasing = new Set(assignment.releases.map(({ unit }) => unitName(unit)));
  const isGranted = (unit: Unit, owner: number): boolean =>
    owner === server.number && !releasing.has(unitName(unit));
  const slices = assignment.owners.flatMap((owner, slice) =>
    isGranted({ unit: { $case: 'slice', value: slice } }, owner) ? [slice] : [],
  );
  const grantedSlices = new Set(slices);
  const isPinGranted = (keyHash: string, owner: number): boolean =>
    isGranted({ unit: { $case: 'pin', value: keyHash } }, owner);
  const sliceCount = assignment.owners.length;
  return {
    kind: 'grant',
    group: assignment.group,
    incarnation: server.incarnation,
    epoch: server.epoch,
    revision: assignment.revision,
    renewerFence: server.renewerFence,
    slices,
    sliceCount,
    pins: assignment.pins
      .filter(({ keyHash, owner }) => isPinGranted(keyHash, owner))
      .map(({ keyHash }) => keyHash),
    excludedKeys: assignment.pins
      .filter(
        ({ keyHash, owner }) =>
          !isPinGranted(keyHash, owner) && grantedSlices.has(sliceOf(keyHash, sliceCount)),
      )
      .map(({ keyHash }) => keyHash),
  };
}

/** Returns a string that is equal for two grants if and only if they differ at most in their revision. */
export function grantContent(grant: OwnershipGrant): string {
  return JSON.stringify({ ...grant, revision: 0 });
}
