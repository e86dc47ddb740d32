import { hopByHopHeaders } from '@hickoryhoist/base/common/hopByHopHeaders.js';
import type { CallerRequest } from './callerRequest.js';

/** Headers of a caller's request that are forwarded to a server: neither hop-by-hop nor Hickoryhoist's own. */
export function forwardedHeaders(request: CallerRequest): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (!hopByHopHeaders.has(name) && !name.startsWith('hickoryhoist-')) {
      headers[name] = typeof value === 'string' ? value : [...value];
    }
  }
  return headers;
}
