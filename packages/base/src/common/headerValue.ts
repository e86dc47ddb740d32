/** Header values by name in lower case. */
type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Returns the first value of a header, or undefined when the header is absent. */
export function firstHeaderValue(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
