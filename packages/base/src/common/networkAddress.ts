/** Splits `host:port`; removes the brackets around an IPv6 host. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}
