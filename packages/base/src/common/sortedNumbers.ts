/** Returns the index of the first entry of a sorted list that is not below a number. */
export function lowerBound(sorted: readonly number[], number: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] ?? 0) < number) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
