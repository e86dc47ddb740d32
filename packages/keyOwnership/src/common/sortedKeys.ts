/** Returns the keys of a sorted list from `from` to `to`, both included. */
export function keysIn(sortedKeys: readonly number[], from: number, to: number): readonly number[] {
  return sortedKeys.slice(lowerBound(sortedKeys, from), lowerBound(sortedKeys, to + 1));
}

/** Returns how many keys of a sorted list lie from `from` to `to`, both included. */
export function countKeysIn(sortedKeys: readonly number[], from: number, to: number): number {
  return lowerBound(sortedKeys, to + 1) - lowerBound(sortedKeys, from);
}

/** Returns the index of the first entry that is not below `key`. */
export function lowerBound(sortedKeys: readonly number[], key: number): number {
  let low = 0;
  let high = sortedKeys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sortedKeys[middle] ?? 0) < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
