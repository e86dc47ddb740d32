import { lowerBound } from '@hickoryhoist/base/common/sortedNumbers.js';

/** Returns the keys of a sorted list from `from` to `to`, both included. */
export function keysIn(sortedKeys: readonly number[], from: number, to: number): readonly number[] {
  return sortedKeys.slice(lowerBound(sortedKeys, from), lowerBound(sortedKeys, to + 1));
}

/** Returns how many keys of a sorted list lie from `from` to `to`, both included. */
export function countKeysIn(sortedKeys: readonly number[], from: number, to: number): number {
  return lowerBound(sortedKeys, to + 1) - lowerBound(sortedKeys, from);
}
