import type { Finding, FindingKind } from '@hickoryhoist/base/common/finding.js';
import {
  type CallerLimits,
  MAX_HEADER_BYTES,
  type Route,
  type RouteConfiguration,
  type RoutedService,
} from './routeConfiguration.js';
import { findUnreachableRoutes } from './unreachableRoutes.js';

/** Longest time in milliseconds that the runtime's timers count; longer ones elapse at once. */
const MAX_TIMER_MILLISECONDS = 2_147_483_647;

/** Number of servers by service, as far as it is known. */
export type ServerCounts = ReadonlyMap<string, number>;

/** Finds what can never take effect or contradicts itself in a configuration that satisfies its schema. */
export function checkRouteConfiguration(
  configuration: RouteConfiguration,
  serverCounts?: ServerCounts,
): readonly Finding[] {
  const { routes, services } = configuration;
  return [
    ...checkRevision(configuration),
    ...findUnreachableRoutes(configuration).map(({ route, hiddenBy, reason }): Finding => {
      const other = hiddenBy === undefined ? '' : `hidden by ${describeRoute(hiddenBy, routes)}: `;
      return { kind: 'never-matches', place: describeRoute(route, routes), message: `${other}${reason}` };
    }),
    ...routes.flatMap((route) => {
      const place = describeRoute(route, routes);
      return [
        ...checkName(route, routes, place),
        ...checkTimes(route, place),
        ...checkTargets(route, services, place),
        ...checkAttempts(route, services, serverCounts, place),
      ];
    }),
    ...[...services.values()].flatMap((service) => checkService(service, routes)),
    ...checkLimits(configuration.limits, routes),
  ];
}

/** Names a route for an operator, with its position if another one looks alike. */
export function describeRoute(route: Route, routes: readonly Route[]): string {
  const { name, host, pathPrefix } = route;
  const isAlike = (other: Route): boolean =>
    other.name === name && other.host === host && other.pathPrefix === pathPrefix;
  const position =
    routes.filter(isAlike).length > 1 ? `, entry ${(routes.indexOf(route) + 1).toString()}` : '';
  return `route ${name} (${host}${pathPrefix}${position})`;
}

function finding(kind: FindingKind, place: string, message: string): readonly Finding[] {
  return [{ kind, place, message }];
}

function milliseconds(value: number): string {
  return `${value.toString()} ms`;
}

function checkRevision({ revision }: RouteConfiguration): readonly Finding[] {
  return Number.isSafeInteger(revision)
    ? []
    : finding('contradiction', 'revision', 'is too large to be told apart from the next one');
}

function checkName(route: Route, routes: readonly Route[], place: string): readonly Finding[] {
  const first = routes.find(({ name }) => name === route.name);
  return first === undefined || first === route
    ? []
    : finding(
        'ambiguous',
        place,
        `has the name of ${describeRoute(first, routes)}; logs do not tell them apart`,
      );
}

function checkTimes(route: Route, place: string): readonly Finding[] {
  const { timeoutMilliseconds: timeout, goalMilliseconds: goal } = route;
  if (timeout === 0) {
    return finding('contradiction', place, 'the timeout is 0 ms, so no request is served');
  }
  return [
    ...checkTimer('timeout', timeout, place),
    ...(goal === 0
      ? finding('contradiction', place, 'the latency goal is 0 ms, so no response meets it')
      : []),
    ...(timeout < goal
      ? finding(
          'contradiction',
          place,
          `the timeout of ${milliseconds(timeout)} is below the latency goal of ${milliseconds(goal)}`,
        )
      : []),
  ];
}

function checkTimer(label: string, value: number, place: string): readonly Finding[] {
  return value <= MAX_TIMER_MILLISECONDS
    ? []
    : finding(
        'contradiction',
        place,
        `the ${label} is above ${milliseconds(MAX_TIMER_MILLISECONDS)}, the longest that timers count`,
      );
}

function checkTargets(
  route: Route,
  services: ReadonlyMap<string, RoutedService>,
  place: string,
): readonly Finding[] {
  const names = route.services.map(({ service }) => service);
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  if (names.length === 0) {
    return finding('no-target', place, 'names no service');
  }
  return [
    ...(total === 0 ? finding('no-target', place, 'all weights are 0, so no service gets its requests') : []),
    ...(total > Number.MAX_VALUE
      ? finding('contradiction', place, 'the weights are too large to be added up')
      : []),
    ...[...new Set(names)].flatMap((name) =>
      names.indexOf(name) === names.lastIndexOf(name)
        ? []
        : finding('ambiguous', place, `names service ${name} more than once; its weights are added up`),
    ),
    ...[...new Set(names)]
      .filter((name) => !services.has(name))
      .flatMap((name) => finding('no-target', place, unknownServiceMessage(route, name, total))),
  ];
}

function unknownServiceMessage(route: Route, name: string, total: number): string {
  const weight = route.services
    .filter(({ service }) => service === name)
    .reduce((sum, part) => sum + part.weight, 0);
  const share =
    route.services.length === 1
      ? 'its requests are'
      : `requests with weight ${weight.toString()} of ${total.toString()} are`;
  return `service ${name} is not configured; ${share} answered like those of an unknown route`;
}

/** Load pattern: a service with few servers, of which one refuses; the next attempt needs another server. */
function checkAttempts(
  route: Route,
  services: ReadonlyMap<string, RoutedService>,
  serverCounts: ServerCounts | undefined,
  place: string,
): readonly Finding[] {
  const attempts = route.maxAttempts.toString();
  const own =
    route.maxAttempts < 1 ? finding('contradiction', place, `${attempts} attempts send no request`) : [];
  if (serverCounts === undefined) {
    return own;
  }
  const names = new Set(route.services.filter(({ weight }) => weight > 0).map(({ service }) => service));
  const others = [...names]
    .filter((name) => services.has(name))
    .flatMap((name) => {
      const count = serverCounts.get(name) ?? 0;
      if (count === 0) {
        return finding('no-target', place, `service ${name} has no server now`);
      }
      return route.maxAttempts > count
        ? finding(
            'contradiction',
            place,
            `${attempts} attempts at service ${name}, which has ${count.toString()} server${count === 1 ? '' : 's'} now`,
          )
        : [];
    });
  return [...own, ...others];
}

function checkService(
  { name, connectionsPerServer, coldStart }: RoutedService,
  routes: readonly Route[],
): readonly Finding[] {
  const place = `service ${name}`;
  const isNamed = routes.some(({ services }) => services.some(({ service }) => service === name));
  return [
    ...(isNamed ? [] : finding('never-matches', place, 'no route names it, so it gets no requests')),
    ...(connectionsPerServer < 1 ? finding('contradiction', place, 'its servers accept no connection') : []),
    ...(coldStart?.warmupMilliseconds === 0
      ? finding('contradiction', place, 'limits the rate of cold servers, but they are cold for 0 ms')
      : []),
  ];
}

function checkLimits(limits: CallerLimits, routes: readonly Route[]): readonly Finding[] {
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limits;
  const place = 'limits of callers';
  const zero = (label: string, value: number): readonly Finding[] =>
    value === 0
      ? finding('contradiction', place, `the ${label} is 0 ms, which the runtime takes as no limit`)
      : [];
  return [
    ...(maxBodyBytes < maxHeaderBytes
      ? finding(
          'contradiction',
          place,
          `bodies of ${maxBodyBytes.toString()} bytes are below headers of ${maxHeaderBytes.toString()} bytes`,
        )
      : []),
    ...(maxHeaderBytes > MAX_HEADER_BYTES
      ? finding(
          'contradiction',
          place,
          `headers of ${maxHeaderBytes.toString()} bytes are above the ${MAX_HEADER_BYTES.toString()} bytes that entry VMs accept`,
        )
      : []),
    ...zero('header timeout', headerTimeoutMilliseconds),
    ...zero('idle timeout', idleTimeoutMilliseconds),
    ...checkTimer('header timeout', headerTimeoutMilliseconds, place),
    ...checkTimer('idle timeout', idleTimeoutMilliseconds, place),
    ...routes
      .filter(({ host, pathPrefix }) => host.length + pathPrefix.length > maxHeaderBytes)
      .flatMap((route) =>
        finding(
          'contradiction',
          describeRoute(route, routes),
          `host and prefix alone exceed the ${maxHeaderBytes.toString()} bytes of headers`,
        ),
      ),
  ];
}
