import { z } from 'zod';
import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';

/** Server number that stands for "no owner". */
export const NO_OWNER = 0;

const entryVmSchema = z
  .object({
    id: z.string().min(1),
    incarnation: z.string().min(1),
    controlAddress: z.string(),
    requestAddress: z.string(),
    availabilityZone: z.string(),
  })
  .readonly();

/** A process on an entry VM. A restart is a new incarnation. */
export type EntryVm = z.output<typeof entryVmSchema>;

const serverRecordSchema = z
  .object({
    number: z.number().int().positive(),
    address: z.string().min(1),
    availabilityZone: z.string(),
    incarnation: z.string(),
    fenceSupport: z.enum(['checked', 'unchecked']),
    phase: z.enum(['serving', 'leaving', 'lost']),
    epoch: z.number().int(),
    renewerFence: z.number().int(),
    renewers: z.array(entryVmSchema).readonly(),
    possibleRenewers: z.array(entryVmSchema).readonly(),
  })
  .readonly();

/**
 * A server in an assignment.
 * `epoch` is the revision that admitted the server; what it was granted in an earlier epoch is void.
 * `renewerFence` is the revision that named the renewers of its lease.
 */
export type ServerRecord = z.output<typeof serverRecordSchema>;

const unitSchema = z
  .object({
    unit: z.discriminatedUnion('$case', [
      z.object({ $case: z.literal('slice'), value: z.number().int() }).readonly(),
      z.object({ $case: z.literal('pin'), value: z.string() }).readonly(),
    ]),
  })
  .readonly();

/** What is owned as a whole: a slice of the key space, or a single pinned key. */
export type Unit = z.output<typeof unitSchema>;

const releaseSchema = z
  .object({ unit: unitSchema, successor: z.number().int(), sinceRevision: z.number().int() })
  .readonly();

/** A hand-over in progress: the owner gives a unit up before its successor is granted it. */
export type Release = z.output<typeof releaseSchema>;

const pinSchema = z.object({ keyHash: z.string(), owner: z.number().int() }).readonly();

/** A key that is owned apart from its slice. */
export type Pin = z.output<typeof pinSchema>;

/** Schema of an assignment, as it lies in the table service and as it is decoded from the wire. */
export const assignmentSchema = z
  .object({
    group: z.string().min(1),
    revision: z.number().int(),
    term: z.number().int(),
    owners: z.array(z.number().int()).readonly(),
    servers: z.array(serverRecordSchema).readonly(),
    releases: z.array(releaseSchema).readonly(),
    pins: z.array(pinSchema).readonly(),
    writeId: z.string(),
  })
  .readonly();

/**
 * Who owns what in one group. Revisions are totally ordered, since each is written on top of the one before
 * by compare-and-set; a revision serves as the fencing number of everything decided in it.
 */
export type Assignment = z.output<typeof assignmentSchema>;

/** Returns the server with a number, if the assignment has one. */
export function findServer(assignment: Assignment, number: number): ServerRecord | undefined {
  return assignment.servers.find((server) => server.number === number);
}

/** Returns the server at an address, if the assignment has one. */
export function findServerByAddress(assignment: Assignment, address: string): ServerRecord | undefined {
  return assignment.servers.find((server) => server.address === address);
}

/** Text form of a unit for logs and maps. */
export function unitName(unit: Unit): string {
  return `${unit.unit.$case}:${unit.unit.value.toString()}`;
}

/** Unit that a key belongs to. */
export function unitOfKey(assignment: Assignment, keyHash: KeyHash): Unit {
  if (assignment.pins.some((pin) => pin.keyHash === keyHash)) {
    return { unit: { $case: 'pin', value: keyHash } };
  }
  return { unit: { $case: 'slice', value: sliceOf(keyHash, assignment.owners.length) } };
}

/** Whether a unit is being handed over. */
export function isReleasing(assignment: Assignment, unit: Unit): boolean {
  const name = unitName(unit);
  return assignment.releases.some((release) => unitName(release.unit) === name);
}

/** Number of the server that owns a unit, or `NO_OWNER`. */
export function ownerOfUnit(assignment: Pick<Assignment, 'owners' | 'pins'>, unit: Unit): number {
  switch (unit.unit.$case) {
    case 'slice':
      return assignment.owners[unit.unit.value] ?? NO_OWNER;
    case 'pin': {
      const keyHash = unit.unit.value;
      return assignment.pins.find((pin) => pin.keyHash === keyHash)?.owner ?? NO_OWNER;
    }
  }
}
