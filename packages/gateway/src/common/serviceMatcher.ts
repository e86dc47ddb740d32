import { firstHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import type { ConfigurationSnapshot } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { ResponseHeaders } from './requestOutcome.js';

/** Finds the service with the longest matching path prefix. */
export function matchService(snapshot: ConfigurationSnapshot, path: string): ServiceFile | undefined {
  return snapshot.services
    .filter(({ pathPrefix }) => path === pathPrefix || path.startsWith(`${pathPrefix}/`))
    .reduce<ServiceFile | undefined>(
      (best, service) =>
        best === undefined || service.pathPrefix.length > best.pathPrefix.length ? service : best,
      undefined,
    );
}

/** Reads the key of a request. @returns undefined if it has none or the service is pooled. */
export function extractKey(service: ServiceFile, url: URL, headers: ResponseHeaders): string | undefined {
  if (service.kind === 'pooled') {
    return undefined;
  }
  const key = readKey(service.key, service.pathPrefix, url, headers);
  return key === '' ? undefined : key;
}

function readKey(
  source: Extract<ServiceFile, { kind: 'keyed' }>['key'],
  pathPrefix: string,
  url: URL,
  headers: ResponseHeaders,
): string | undefined {
  switch (source.in) {
    case 'path':
      return url.pathname.slice(pathPrefix.length + 1).split('/')[source.segment];
    case 'query':
      return url.searchParams.get(source.name) ?? undefined;
    case 'header': {
      return firstHeaderValue(headers, source.name.toLowerCase());
    }
  }
}
