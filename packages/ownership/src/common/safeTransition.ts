import { InvariantError } from '@hickoryhoist/base/common/errors.js';
import {
  type Assignment,
  findServer,
  NO_OWNER,
  ownerOfUnit,
  type Release,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';
import { hasGivenUp, type Observations } from './observations.js';

/**
 * Checks, apart from the planner, that no unit changes its owner while the old owner may still hold it.
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
  for (const unit of unitsOf(before)) {
    const owner = ownerOfUnit(before, unit);
    if (owner !== NO_OWNER && owner !== ownerOfUnit(after, unit)) {
      assertGivenUp(before, after, observations, unit, releases.get(unitName(unit)));
    }
  }
}

function assertGivenUp(
  before: Assignment,
  after: Assignment,
  observations: Observations,
  unit: Unit,
  release: Release | undefined,
): void {
  const owner = findServer(before, ownerOfUnit(before, unit));
  const observation = owner === undefined ? undefined : observations.servers.get(owner.address);
  const successor = ownerOfUnit(after, unit);
  const isReturnedToSlice = unit.unit.$case === 'pin' && successor === NO_OWNER;
  const isLost =
    owner?.phase === 'lost' || (owner !== undefined && observation?.lapsedFence === owner.renewerFence);
  const isHandedOver =
    release?.successor === successor &&
    owner !== undefined &&
    (owner.epoch > release.sinceRevision ||
      (observation !== undefined &&
        hasGivenUp(observation, unit, release.sinceRevision, before.owners.length)));
  const isRestarted =
    observation !== undefined &&
    observation.incarnation !== '' &&
    observation.incarnation !== owner?.incarnation;
  if (!isLost && !isHandedOver && !isReturnedToSlice && !isRestarted) {
    throw new InvariantError(
      `${unitName(unit)} would move while ${owner?.address ?? 'its owner'} may hold it`,
    );
  }
}

function unitsOf(assignment: Assignment): readonly Unit[] {
  const slices = assignment.owners.map((_owner, slice): Unit => ({ unit: { $case: 'slice', value: slice } }));
  const pins = assignment.pins.map(({ keyHash }): Unit => ({ unit: { $case: 'pin', value: keyHash } }));
  return [...slices, ...pins];
}
