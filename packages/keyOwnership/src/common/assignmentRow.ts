import * as z from 'zod';
import { InvalidDocumentError, parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { type KeyAssignment, LAST_KEY, type OwnedRange } from './keyAssignment.js';

/**
 * An assignment as stored in its row. Each owner is stored once, because a row is limited to 64 KiB and a server owns
 * several ranges. A range takes about 25 bytes, an owner about 80.
 */
const assignmentRowSchema = z.object({
  revision: z.int().min(0),
  /** Identifier, incarnation and address of each owner. */
  owners: z.array(z.tuple([z.string(), z.number(), z.string()])),
  /** First key, last key, index in `owners` and fence of each range. */
  ranges: z.array(
    z.tuple([z.int().min(0).max(LAST_KEY), z.int().min(0).max(LAST_KEY), z.int().min(0), z.int().min(1)]),
  ),
});

export function encodeAssignment({ revision, ranges }: KeyAssignment): string {
  const positions = new Map<string, number>();
  const owners: [string, number, string][] = [];
  const rows = ranges.map(({ from, to, ownerId, ownerIncarnation, ownerAddress, fence }) => {
    const name = JSON.stringify([ownerId, ownerIncarnation, ownerAddress]);
    const position = positions.get(name) ?? owners.length;
    if (position === owners.length) {
      positions.set(name, position);
      owners.push([ownerId, ownerIncarnation, ownerAddress]);
    }
    return [from, to, position, fence];
  });
  return JSON.stringify({ revision, owners, ranges: rows });
}

/** @throws InvalidDocumentError */
export function decodeAssignment(name: string, value: string): KeyAssignment {
  const { revision, owners, ranges } = parseDocument(name, assignmentRowSchema, value);
  return {
    revision,
    ranges: ranges.map(([from, to, position, fence]): OwnedRange => {
      const owner = owners[position];
      if (owner === undefined) {
        throw new InvalidDocumentError(name, [`ranges: no owner at index ${position.toString()}`]);
      }
      const [ownerId, ownerIncarnation, ownerAddress] = owner;
      return { from, to, ownerId, ownerIncarnation, ownerAddress, fence };
    }),
  };
}
