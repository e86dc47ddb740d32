import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { ConfigurationInForce } from '@hickoryhoist/routing/common/configurationInForce.js';
import type { TextResponse } from './textServer.js';

/**
 * The configuration in force, for operators.
 * @param document text of the configuration; undefined before the first one.
 * @param servers the known servers; undefined before they have been read.
 */
export function renderConfigurationInForce(
  document: string | undefined,
  servers: Iterable<Pick<ServerRecord, 'service' | 'phase'>> | undefined,
): TextResponse {
  if (document === undefined) {
    return { status: 503, text: 'no configuration is in force\n' };
  }
  const inForce: ConfigurationInForce = {
    document,
    ...(servers === undefined ? {} : { servers: countReadyServers(servers) }),
  };
  return { status: 200, text: `${JSON.stringify(inForce)}\n` };
}

function countReadyServers(
  servers: Iterable<Pick<ServerRecord, 'service' | 'phase'>>,
): { service: string; count: number }[] {
  const counts = new Map<string, number>();
  for (const { service, phase } of servers) {
    counts.set(service, (counts.get(service) ?? 0) + (phase === 'ready' ? 1 : 0));
  }
  return [...counts].map(([service, count]) => ({ service, count }));
}
