import { InvariantError } from '@hickoryhoist/base/common/errors.js';
import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  type Assignment,
  findServer,
  isReleasing,
  NO_OWNER,
  ownerOfUnit,
  type Release,
  type ServerRecord,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';
import { hasReleased, type Observations } from './observations.js';

/**
 * Checks, independently of the planner, that no unit changes its owner while the previous owner may still serve it.
 * @throws InvariantError
 */
export function assertSafeTransition(
  before: Assignment,
  after: Assignment,
  observations: Observations,
): void {
  if (after.revision !== before.revision + 1) {
    throw new InvariantError(
      `revision ${after.revision.toString()} does not follow ${before.revision.toString()}`,
    );
  }
  const releases = new Map(before.releases.map((release) => [unitName(release.unit), release]));
  for (const pin of after.pins) {
    assertPinStartsAtSliceOwner(before, pin.keyHash, pin.owner, releases);
  }
  for (const unit of unitsOf(before)) {
    const owner = ownerOfUnit(before, unit);
    if (owner !== NO_OWNER && owner !== ownerOfUnit(after, unit)) {
      assertReleased(before, after, observations, unit, releases.get(unitName(unit)));
    }
  }
}

/** Checks that a new pin is assigned to the owner of its slice, and that the slice is not being transferred. */
function assertPinStartsAtSliceOwner(
  before: Assignment,
  keyHash: string,
  owner: number,
  releases: ReadonlyMap<string, Release>,
): void {
  if (before.pins.some((pin) => pin.keyHash === keyHash)) {
    return;
  }
  const slice: Unit = { unit: { $case: 'slice', value: sliceOf(keyHash, before.owners.length) } };
  if (ownerOfUnit(before, slice) !== owner || releases.has(unitName(slice))) {
    throw new InvariantError(
      `pin ${keyHash} was added while its slice has another owner or is being transferred`,
    );
  }
}

function assertReleased(
  before: Assignment,
  after: Assignment,
  observations: Observations,
  unit: Unit,
  release: Release | undefined,
): void {
  const owner = findServer(before, ownerOfUnit(before, unit));
  const observation = owner === undefined ? undefined : observations.servers.get(owner.address);
  const successor = ownerOfUnit(after, unit);
  const isReturnedToSlice =
    unit.unit.$case === 'pin' && isSliceOwnedBy(before, after, unit.unit.value, owner);
  const isExpired =
    owner?.phase === 'lost' || (owner !== undefined && observation?.expiredFence === owner.renewerFence);
  const isReleased =
    release?.successor === successor &&
    owner !== undefined &&
    (owner.epoch > release.sinceRevision ||
      (observation !== undefined &&
        hasReleased(observation, unit, release.sinceRevision, before.owners.length)));
  const isRestarted =
    observation !== undefined &&
    observation.incarnation !== '' &&
    observation.incarnation !== owner?.incarnation;
  if (!isExpired && !isReleased && !isReturnedToSlice && !isRestarted) {
    throw new InvariantError(
      `${unitName(unit)} would change its owner while ${owner?.address ?? 'the previous owner'} may still serve it`,
    );
  }
}

function unitsOf(assignment: Assignment): readonly Unit[] {
  const slices = assignment.owners.map((_owner, slice): Unit => ({ unit: { $case: 'slice', value: slice } }));
  const pins = assignment.pins.map(({ keyHash }): Unit => ({ unit: { $case: 'pin', value: keyHash } }));
  return [...slices, ...pins];
}

/** Whether a server owns the slice of an unpinned key before and after, without an ownership transfer. */
function isSliceOwnedBy(
  before: Assignment,
  after: Assignment,
  keyHash: string,
  owner: ServerRecord | undefined,
): boolean {
  const slice: Unit = { unit: { $case: 'slice', value: sliceOf(keyHash, before.owners.length) } };
  const isPinned = after.pins.some((pin) => pin.keyHash === keyHash);
  const owners = [ownerOfUnit(before, slice), ownerOfUnit(after, slice)];
  return !isPinned && !isReleasing(before, slice) && owners.every((number) => number === owner?.number);
}
