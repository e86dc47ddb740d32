import type { Finding } from '@hickoryhoist/base/common/finding.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import { parseTarget } from './requestTarget.js';
import { matchService } from './serviceMatcher.js';

/**
 * Finds the services that no request matches, by asking the matcher for the shortest path that each could match: its own
 * prefix. Any longer path has the same prefixes and may have further ones. Also finds those whose prefix callers cannot
 * use as it stands, since two slashes at its start are read as the start of a host.
 */
export function findUnreachableServices(services: readonly ServiceFile[]): readonly Finding[] {
  return services.flatMap((service): readonly Finding[] => {
    const { name, pathPrefix } = service;
    const place = `service ${name}`;
    const found = matchService({ services }, pathPrefix);
    if (found !== undefined && found !== service) {
      const message = `hidden by service ${found.name}, which has the same path prefix ${pathPrefix}`;
      return [{ kind: 'never-matches', place, message }];
    }
    const path = parseTarget(pathPrefix)?.pathname;
    return path === pathPrefix
      ? []
      : [
          {
            kind: 'ambiguous',
            place,
            message: `requests for ${pathPrefix} are read as requests for ${path ?? ''}`,
          },
        ];
  });
}
