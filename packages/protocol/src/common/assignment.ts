import * as z from 'zod';
import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';

/** Server number in place of an owner while a slice or pin has none. */
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
 * `epoch` is the revision that admitted the server; grants from earlier epochs are void.
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

/** Unit of ownership: a slice of the key space, or a single pinned key. */
export type Unit = z.output<typeof unitSchema>;

const releaseSchema = z
  .object({ unit: unitSchema, successor: z.number().int(), sinceRevision: z.number().int() })
  .readonly();

/** An ownership transfer in progress. The owner releases the unit before it is granted to the successor. */
export type Release = z.output<typeof releaseSchema>;

const pinSchema = z.object({ keyHash: z.string(), owner: z.number().int() }).readonly();

/** A key whose owner is assigned separately from its slice. */
export type Pin = z.output<typeof pinSchema>;

/** Schema of an assignment in the table service and in decoded messages. */
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
 * Owners of all units of a group. Revisions are totally ordered, since each one replaces its predecessor by
 * compare-and-set. A revision is the fencing token of every decision made in it.
 */
export type Assignment = z.output<typeof assignmentSchema>;

export function findServer(assignment: Assignment, number: number): ServerRecord | undefined {
  return assignment.servers.find((server) => server.number === number);
}

export function findServerByAddress(assignment: Assignment, address: string): ServerRecord | undefined {
  return assignment.servers.find((server) => server.address === address);
}

/** Text form of a unit for logs and as a map key. */
export function unitName(unit: Unit): string {
  return `${unit.unit.$case}:${unit.unit.value.toString()}`;
}

/** Unit that contains a key. */
export function unitOfKey(assignment: Assignment, keyHash: KeyHash): Unit {
  if (assignment.pins.some((pin) => pin.keyHash === keyHash)) {
    return { unit: { $case: 'pin', value: keyHash } };
  }
  return { unit: { $case: 'slice', value: sliceOf(keyHash, assignment.owners.length) } };
}

/** Whether the ownership of a unit is being transferred. */
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
