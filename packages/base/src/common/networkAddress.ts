import * as z from 'zod';

const MAX_PORT = 65_535;
const ipAddressSchema = z.ipv4();

/** Whether a text is `host:port` with an IPv4 address and a port that can be connected to. */
export function isSocketAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return ipAddressSchema.safeParse(host).success && /:[1-9]\d{0,4}$/.test(text) && port <= MAX_PORT;
}

/** Splits `host:port`; removes the brackets around an IPv6 host. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}
