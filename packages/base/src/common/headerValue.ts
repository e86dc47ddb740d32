/** Header values by name in lower case. */
type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Returns the first value of a header, or undefined when the header is absent. */
export function firstHeaderValue(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

/** Returns the value of a header that occurs exactly once, or undefined. */
export function singleHeaderValue(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  if (typeof value === 'string') {
    return value;
  }
  return value?.length === 1 ? value[0] : undefined;
}
