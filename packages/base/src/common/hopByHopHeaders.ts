/** Lower-case names of headers that are not forwarded: hop-by-hop headers and those written by the transport. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);
