/** Highest key. Keys are integers from 0 to this value, both included. */
export const LAST_KEY = 65_535;

/** Contiguous keys with one owner. */
export interface OwnedRange {
  /** First key. */
  readonly from: number;
  /** Last key. */
  readonly to: number;
  readonly ownerId: string;
  readonly ownerIncarnation: number;
  /** Address of the owner, known even when the owner is absent from the registry. */
  readonly ownerAddress: string;
  /** Fencing token, higher than that of every earlier owner of any of these keys. */
  readonly fence: number;
}

/**
 * Owners of a service's keys. Ranges are sorted and do not overlap; keys between them may be unowned. Each revision is
 * written on condition that the previous one is current. A new fence is the number of the revision that introduces it.
 */
export interface KeyAssignment {
  readonly revision: number;
  readonly ranges: readonly OwnedRange[];
}

export const emptyAssignment: KeyAssignment = { revision: 0, ranges: [] };

/** The server process that gets a range. */
interface RangeOwner {
  readonly id: string;
  readonly incarnation: number;
  readonly address: string;
}

export function createOwnedRange(from: number, to: number, owner: RangeOwner, fence: number): OwnedRange {
  const { id, incarnation, address } = owner;
  return { from, to, ownerId: id, ownerIncarnation: incarnation, ownerAddress: address, fence };
}

/** Finds the range that contains a key, by binary search. */
export function findRange(ranges: readonly OwnedRange[], key: number): OwnedRange | undefined {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle];
    if (range === undefined || key < range.from) {
      high = middle - 1;
    } else if (key > range.to) {
      low = middle + 1;
    } else {
      return range;
    }
  }
  return undefined;
}

/** Returns the unowned keys as sorted ranges. */
export function findUnownedRanges(ranges: readonly OwnedRange[]): readonly { from: number; to: number }[] {
  const gaps: { from: number; to: number }[] = [];
  let next = 0;
  for (const { from, to } of ranges) {
    if (from > next) {
      gaps.push({ from: next, to: from - 1 });
    }
    next = to + 1;
  }
  if (next <= LAST_KEY) {
    gaps.push({ from: next, to: LAST_KEY });
  }
  return gaps;
}
