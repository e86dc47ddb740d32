/** Whether two different texts differ by at most one inserted, removed, replaced or swapped character, or by case. */
export function isProbableMisspelling(left: string, right: string): boolean {
  if (left === right) {
    return false;
  }
  const [shorter, longer] = [left.toLowerCase(), right.toLowerCase()].sort(
    (one, other) => one.length - other.length,
  ) as [string, string];
  let start = 0;
  while (start < shorter.length && shorter[start] === longer[start]) {
    start += 1;
  }
  const rest = shorter.slice(start);
  const otherRest = longer.slice(start);
  if (shorter.length < longer.length) {
    return longer.length === shorter.length + 1 && otherRest.endsWith(rest);
  }
  const swapped = `${rest.charAt(1)}${rest.charAt(0)}${rest.slice(2)}`;
  return rest.slice(1) === otherRest.slice(1) || swapped === otherRest;
}
