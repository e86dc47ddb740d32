/** Parses the target of a request. @returns undefined unless it is a path with an optional query. */
export function parseTarget(target: string): URL | undefined {
  return target.startsWith('/') && URL.canParse(target, 'http://caller')
    ? new URL(target, 'http://caller')
    : undefined;
}
