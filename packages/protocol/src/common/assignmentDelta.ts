import type { AssignmentDelta } from '../generated/hickoryhoist/control/v1/control.js';
import { type Assignment, assignmentSchema, type Pin, type ServerRecord } from './assignment.js';

/** Computes what turns `before` into `after`. Both must have the same number of slices. */
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

/** Applies a delta. @returns undefined when the delta does not start from this revision. */
export function applyDelta(base: Assignment, delta: AssignmentDelta): Assignment | undefined {
  if (base.revision !== delta.baseRevision) {
    return undefined;
  }
  const owners = [...base.owners];
  for (const { slice, owner } of delta.owners) {
    owners[slice] = owner;
  }
  return assignmentSchema.parse({
    group: base.group,
    revision: delta.revision,
    term: delta.term,
    writeId: delta.writeId,
    owners,
    servers: mergeServers(base.servers, delta),
    releases: delta.releases,
    pins: mergePins(base.pins, delta),
  });
}

function mergeServers(base: readonly ServerRecord[], delta: AssignmentDelta): unknown[] {
  const servers = new Map<number, unknown>(base.map((server) => [server.number, server]));
  delta.removedServers.forEach((number) => servers.delete(number));
  delta.servers.forEach((server) => servers.set(server.number, server));
  return [...servers.values()];
}

function mergePins(base: readonly Pin[], delta: AssignmentDelta): Pin[] {
  const pins = new Map(base.map((pin) => [pin.keyHash, pin]));
  delta.removedPins.forEach((keyHash) => pins.delete(keyHash));
  delta.pins.forEach((pin) => pins.set(pin.keyHash, pin));
  return [...pins.values()];
}

function isSameServer(left: ServerRecord | undefined, right: ServerRecord): boolean {
  return left !== undefined && JSON.stringify(left) === JSON.stringify(right);
}
