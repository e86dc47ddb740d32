/** Keys are integers from 0 to this one, both included. */
export const LAST_KEY = 65_535;

/** Neighbouring keys with one owner. The fence is above that of every earlier owner of any of these keys. */
export interface OwnedRange {
  /** First key. */
  readonly from: number;
  /** Last key. */
  readonly to: number;
  readonly ownerId: string;
  readonly ownerIncarnation: number;
  /** Where the owner is reached, also when its announcement is missing. */
  readonly ownerAddress: string;
  readonly fence: number;
}

/**
 * Owners of a service's keys. Ranges are sorted, do not overlap, and may leave gaps of keys without an owner.
 * Each revision is written on top of the one before, and new fences are the revision that made them.
 */
export interface KeyAssignment {
  readonly revision: number;
  readonly ranges: readonly OwnedRange[];
}

export const emptyAssignment: KeyAssignment = { revision: 0, ranges: [] };

/** Range that a key lies in, found by binary search. */
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

/** Keys without an owner, as sorted ranges. */
export function gapsOf(ranges: readonly OwnedRange[]): readonly { from: number; to: number }[] {
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
