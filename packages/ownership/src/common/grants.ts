import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  type Assignment,
  type ServerRecord,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';
import type { OwnershipGrant } from '@hickoryhoist/protocol/common/serverMessages.js';

/** Builds the grant that tells a server everything it owns under an assignment. Units in release are left out. */
export function grantFor(assignment: Assignment, server: ServerRecord): OwnershipGrant {
  const releasing = new Set(assignment.releases.map(({ unit }) => unitName(unit)));
  const isHeld = (unit: Unit, owner: number): boolean =>
    owner === server.number && !releasing.has(unitName(unit));
  const slices = assignment.owners.flatMap((owner, slice) =>
    isHeld({ unit: { $case: 'slice', value: slice } }, owner) ? [slice] : [],
  );
  const heldSlices = new Set(slices);
  const isPinHeld = (keyHash: string, owner: number): boolean =>
    isHeld({ unit: { $case: 'pin', value: keyHash } }, owner);
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
      .filter(({ keyHash, owner }) => isPinHeld(keyHash, owner))
      .map(({ keyHash }) => keyHash),
    excludedKeys: assignment.pins
      .filter(
        ({ keyHash, owner }) => !isPinHeld(keyHash, owner) && heldSlices.has(sliceOf(keyHash, sliceCount)),
      )
      .map(({ keyHash }) => keyHash),
  };
}

/** Text that is equal for two grants exactly when they entitle the server to the same. */
export function grantContent(grant: OwnershipGrant): string {
  return JSON.stringify({ ...grant, revision: 0 });
}
