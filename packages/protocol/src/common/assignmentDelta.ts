import type { AssignmentDelta } from '../generated/hickoryhoist/control/v1/control.js';
import { type Assignment, assignmentSchema, type Pin, type ServerRecord } from './assignment.js';

/** Parts of a received delta that are validated before it is applied. */
const deltaSchema = assignmentSchema.unwrap().pick({ servers: true, releases: true, pins: true });

/** Computes the delta from `before` to `after`. Both must have the same number of slices. */
export function diffAssignments(before: Assignment, after: Assignment): AssignmentDelta {
  const earlierServers = new Map(before.servers.map((server) => [server.number, server]));
  const earlierPins = new Map(before.pins.map((pin) => [pin.keyHash, pin.owner]));
  const laterServers = new Set(after.servers.map(({ number }) => number));
  const laterPins = new Set(after.pins.map(({ keyHash }) => keyHash));
  return {
    baseRevision: before.revision,
    revision: after.revision,
    term: after.term,
    writeId: after.writeId,
    owners: after.owners.flatMap((owner, slice) =>
      before.owners[slice] === owner ? [] : [{ slice, owner }],
    ),
    servers: after.servers.filter((server) => !isSameServer(earlierServers.get(server.number), server)),
    removedServers: before.servers.map(({ number }) => number).filter((number) => !laterServers.has(number)),
    releases: after.releases,
    pins: after.pins.filter(({ keyHash, owner }) => earlierPins.get(keyHash) !== owner),
    removedPins: before.pins.map(({ keyHash }) => keyHash).filter((keyHash) => !laterPins.has(keyHash)),
  };
}

/** Applies a delta. @returns undefined if the delta is based on another revision. */
export function applyDelta(base: Assignment, delta: AssignmentDelta): Assignment | undefined {
  if (base.revision !== delta.baseRevision) {
    return undefined;
  }
  const owners = [...base.owners];
  for (const { slice, owner } of delta.owners) {
    owners[slice] = owner;
  }
  const changed = deltaSchema.parse({ servers: delta.servers, releases: delta.releases, pins: delta.pins });
  return {
    group: base.group,
    revision: delta.revision,
    term: delta.term,
    writeId: delta.writeId,
    owners,
    servers: mergeServers(base.servers, changed.servers, delta.removedServers),
    releases: changed.releases,
    pins: mergePins(base.pins, changed.pins, delta.removedPins),
  };
}

function mergeServers(
  base: readonly ServerRecord[],
  changed: readonly ServerRecord[],
  removed: readonly number[],
): ServerRecord[] {
  const servers = new Map(base.map((server) => [server.number, server]));
  removed.forEach((number) => servers.delete(number));
  changed.forEach((server) => servers.set(server.number, server));
  return [...servers.values()];
}

function mergePins(base: readonly Pin[], changed: readonly Pin[], removed: readonly string[]): Pin[] {
  const pins = new Map(base.map((pin) => [pin.keyHash, pin]));
  removed.forEach((keyHash) => pins.delete(keyHash));
  changed.forEach((pin) => pins.set(pin.keyHash, pin));
  return [...pins.values()];
}

function isSameServer(left: ServerRecord | undefined, right: ServerRecord): boolean {
  return left !== undefined && JSON.stringify(left) === JSON.stringify(right);
}
