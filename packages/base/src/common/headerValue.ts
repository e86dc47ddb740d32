/** Headers of a message, with names in lower case. */
type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/** First value of a header, if it is there. */
export function firstHeaderValue(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
