import type { Route, RouteConfiguration } from './routeConfiguration.js';
import { RouteTable } from './routeTable.js';

/** A route that no request matches. */
export interface UnreachableRoute {
  readonly route: Route;
  /** Route that gets the requests instead, if they match one. */
  readonly hiddenBy: Route | undefined;
  readonly reason: string;
}

/** A character that no host and no request target of a valid request contains. */
const INVALID_CHARACTER = /[^\x21-\x7e]|#/;

/**
 * Finds the routes that no request matches, by asking the route table for the shortest request that each could match: its
 * own host and prefix. Any longer request has the same prefixes and may have further ones.
 */
export function findUnreachableRoutes(configuration: RouteConfiguration): readonly UnreachableRoute[] {
  const table = new RouteTable(configuration);
  return configuration.routes.flatMap((route): readonly UnreachableRoute[] => {
    const found = table.findRoute(route.host, route.pathPrefix);
    if (found === route) {
      const reason = invalidCharacterReason(route);
      return reason === undefined ? [] : [{ route, hiddenBy: undefined, reason }];
    }
    const isReplaced = found?.host === route.host && found.pathPrefix === route.pathPrefix;
    return isReplaced
      ? [{ route, hiddenBy: found, reason: 'the table keeps one route for each host and prefix' }]
      : [{ route, hiddenBy: undefined, reason: mismatchReason(route) }];
  });
}

function invalidCharacterReason({ host, pathPrefix }: Route): string | undefined {
  if (INVALID_CHARACTER.test(host)) {
    return `no request has the host ${JSON.stringify(host)}`;
  }
  return INVALID_CHARACTER.test(pathPrefix)
    ? `no request has the path ${JSON.stringify(pathPrefix)}: such characters are percent-encoded`
    : undefined;
}

function mismatchReason({ host, pathPrefix }: Route): string {
  if (host !== host.toLowerCase() || host.includes(':')) {
    return `the host of a request is compared in lower case and without its port, never as ${host}`;
  }
  return pathPrefix.includes('?')
    ? 'the path of a request ends before its first "?"'
    : 'a prefix begins and ends with a slash';
}
