import {
  type ComparableEntry,
  compareEntries,
  type EntryDifference,
  type FieldFormats,
  formatFields,
  uniqueNames,
} from '@hickoryhoist/base/common/entryDifferences.js';
import type {
  CallerLimits,
  Route,
  RouteConfiguration,
  RoutedService,
  WeightedService,
} from './routeConfiguration.js';
import { RouteTable } from './routeTable.js';

const routeFormats: FieldFormats<Route, 'name'> = {
  host: { label: 'host', format: ({ host }) => host },
  pathPrefix: { label: 'prefix', format: ({ pathPrefix }) => pathPrefix },
  kind: { label: 'kind', format: ({ kind }) => kind },
  timeoutMilliseconds: { label: 'timeout', format: (route) => `${route.timeoutMilliseconds.toString()} ms` },
  goalMilliseconds: { label: 'latency goal', format: (route) => `${route.goalMilliseconds.toString()} ms` },
  rank: { label: 'rank', format: ({ rank }) => rank.toString() },
  maxAttempts: { label: 'attempts', format: ({ maxAttempts }) => maxAttempts.toString() },
  services: { label: 'target', format: ({ services }) => formatSplit(services) },
};

const serviceFormats: FieldFormats<RoutedService, 'name'> = {
  kind: { label: 'kind', format: ({ kind }) => kind },
  connectionsPerServer: {
    label: 'maximum of connections',
    format: ({ connectionsPerServer }) => connectionsPerServer.toString(),
  },
  coldStart: {
    label: 'limit of cold servers',
    format: ({ coldStart }) =>
      coldStart === undefined
        ? 'none'
        : `${coldStart.requestsPerSecond.toString()} requests/s for ${coldStart.warmupMilliseconds.toString()} ms`,
  },
};

const limitFormats: FieldFormats<CallerLimits> = {
  maxHeaderBytes: {
    label: 'maximum of headers',
    format: (limits) => `${limits.maxHeaderBytes.toString()} bytes`,
  },
  maxBodyBytes: { label: 'maximum of a body', format: (limits) => `${limits.maxBodyBytes.toString()} bytes` },
  headerTimeoutMilliseconds: {
    label: 'header timeout',
    format: (limits) => `${limits.headerTimeoutMilliseconds.toString()} ms`,
  },
  idleTimeoutMilliseconds: {
    label: 'idle timeout',
    format: (limits) => `${limits.idleTimeoutMilliseconds.toString()} ms`,
  },
};

/** Compares two configurations, and which of their routes get the same requests. */
export function compareRouteConfigurations(
  before: RouteConfiguration,
  after: RouteConfiguration,
): readonly EntryDifference[] {
  return [...compareEntries(entriesOf(before), entriesOf(after)), ...compareMatches(before, after)];
}

/** The order of the parts of a split has no effect. */
function formatSplit(services: readonly WeightedService[]): string {
  return services
    .map(({ service, weight }) =>
      services.length === 1 && weight > 0 ? service : `${service} ${weight.toString()}`,
    )
    .sort()
    .join(' and ');
}

function routeNames({ routes }: RouteConfiguration): readonly string[] {
  return uniqueNames(routes.map(({ name }) => `route ${name}`));
}

function entriesOf(configuration: RouteConfiguration): readonly ComparableEntry[] {
  const names = routeNames(configuration);
  return [
    ...configuration.routes.map((route, index) => ({
      name: names[index] ?? '',
      fields: formatFields(route, routeFormats),
    })),
    ...[...configuration.services.values()].map((service) => ({
      name: `service ${service.name}`,
      fields: formatFields(service, serviceFormats),
    })),
    { name: 'limits of callers', fields: formatFields(configuration.limits, limitFormats) },
  ];
}

/** Asks both route tables for the shortest request that each route could match. */
function compareMatches(before: RouteConfiguration, after: RouteConfiguration): readonly EntryDifference[] {
  const find = (configuration: RouteConfiguration): ((route: Route) => string | undefined) => {
    const table = new RouteTable(configuration);
    const names = routeNames(configuration);
    const nameOf = new Map(configuration.routes.map((route, index) => [route, names[index]]));
    return ({ host, pathPrefix }) => {
      const found = table.findRoute(host, pathPrefix);
      return found && nameOf.get(found);
    };
  };
  const findBefore = find(before);
  const findAfter = find(after);
  const differences = new Map<string, EntryDifference>();
  for (const route of [...before.routes, ...after.routes]) {
    const earlier = findBefore(route);
    const later = findAfter(route);
    if (earlier !== undefined && earlier !== later) {
      const requests = `${route.host}${route.pathPrefix}`;
      differences.set(requests, { kind: 'rerouted', requests, before: earlier, after: later });
    }
  }
  return [...differences.values()];
}
