import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { describeDifference } from '@hickoryhoist/base/common/entryDifferences.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { CallerLimits, Route, RouteConfiguration, RoutedService } from '../routeConfiguration.js';
import { checkRouteConfiguration } from '../routeConfigurationCheck.js';
import { compareRouteConfigurations } from '../routeConfigurationDifference.js';
import { RouteTable } from '../routeTable.js';
import { findUnreachableRoutes } from '../unreachableRoutes.js';

const limits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

function route(name: string, change: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 500,
    rank: 1,
    maxAttempts: 2,
    services: [{ service: 'catalogue', weight: 1 }],
    ...change,
  };
}

function configure(
  routes: readonly Route[],
  change: { limits?: Partial<CallerLimits>; service?: Partial<RoutedService>; revision?: number } = {},
): RouteConfiguration {
  const service = { name: 'catalogue', kind: 'pooled', connectionsPerServer: 10, ...change.service } as const;
  return {
    revision: change.revision ?? 1,
    routes,
    services: new Map([[service.name, service]]),
    limits: { ...limits, ...change.limits },
  };
}

function findingsOf(configuration: RouteConfiguration, serverCount = 2): string {
  const findings = checkRouteConfiguration(configuration, new Map([['catalogue', serverCount]]));
  return findings.map(({ kind, place, message }) => `${kind}: ${place}: ${message}`).join('\n');
}

/** Few hosts and prefixes, so that many routes of a configuration collide. */
const arbitraryConfiguration = fastCheck
  .array(
    fastCheck.record({
      host: fastCheck.constantFrom('a', 'b', 'A', 'a:80', 'a b'),
      pathPrefix: fastCheck.constantFrom('/', '/x/', '/x/y/', '/x', 'x/', '/x?y/', '/x y/', '/y/'),
    }),
  )
  .map((changes) => configure(changes.map((change) => route('r', change))));

const arbitraryRequest = fastCheck.record({
  host: fastCheck.constantFrom('a', 'b', 'A', 'a:80', 'B:8080', ''),
  path: fastCheck.array(fastCheck.constantFrom('/', 'x', 'y', '?')).map((parts) => `/${parts.join('')}`),
});

describe('the check of a route configuration', () => {
  it('finds nothing in a sound one', () => {
    assert.is(findingsOf(configure([route('books')])), '');
  });

  describe('of routes that no request matches', () => {
    it('names the one that gets the requests', () => {
      const [earlier, later] = [route('old', { pathPrefix: '/x/' }), route('new', { pathPrefix: '/x/' })];
      const unreachable = findUnreachableRoutes(configure([earlier, later]));
      assert.is(unreachable.length, 1);
      assert.is(unreachable[0]?.route, earlier);
      assert.is(unreachable[0]?.hiddenBy, later);
    });

    it('reports hosts and prefixes that no request has', () => {
      const hosts = ['A.example', 'a.example:80', 'ä.example'].map((host) => route('r', { host }));
      const prefixes = ['/a?b/', '/a b/', '/a'].map((pathPrefix) => route('r', { pathPrefix }));
      const routes = [...hosts, ...prefixes];
      assert.equal(
        findUnreachableRoutes(configure(routes)).map((unreachable) => unreachable.route),
        routes,
      );
    });

    it('reports none that the route table returns for a request, and all others with a valid host and prefix', () => {
      fastCheck.assert(
        fastCheck.property(
          arbitraryConfiguration,
          fastCheck.array(arbitraryRequest, { minLength: 50 }),
          (configuration, requests) => {
            const table = new RouteTable(configuration);
            const unreachable = new Set(findUnreachableRoutes(configuration).map((found) => found.route));
            for (const { host, path } of requests) {
              const found = table.findRoute(host, path);
              assert.ok(found === undefined || !unreachable.has(found));
            }
            for (const reachable of configuration.routes.filter((other) => !unreachable.has(other))) {
              assert.is(table.findRoute(reachable.host, `${reachable.pathPrefix}z`), reachable);
            }
          },
        ),
        { seed: 20_261_206, numRuns: 300 },
      );
    });
  });

  describe('of limits', () => {
    const sound = route('books');
    const withRoute = (change: Partial<Route>) => configure([sound, route('r', change)]);
    const withLimits = (change: Partial<CallerLimits>) => configure([sound], { limits: change });
    const split = (...weights: readonly number[]): Partial<Route> => ({
      services: weights.map((weight, index) => ({ service: index === 2 ? 'katalog' : 'catalogue', weight })),
    });
    const coldStart = { warmupMilliseconds: 0, requestsPerSecond: 1 };
    const cases = new Map<string, RouteConfiguration>([
      ['timeout of 400 ms is below the latency goal of 500 ms', withRoute({ timeoutMilliseconds: 400 })],
      ['timeout is 0 ms', withRoute({ timeoutMilliseconds: 0 })],
      ['latency goal is 0 ms', withRoute({ goalMilliseconds: 0 })],
      ['timeout is above 2147483647 ms', withRoute({ timeoutMilliseconds: 3e9 })],
      ['0 attempts send no request', withRoute({ maxAttempts: 0 })],
      ['all weights are 0', withRoute(split(0))],
      ['names service catalogue more than once', withRoute(split(5, 4))],
      ['katalog is not configured; requests with weight 1 of 10', withRoute(split(5, 4, 1))],
      ['weights are too large to be added up', withRoute(split(1e308, 1e308))],
      ['names no service', withRoute({ services: [] })],
      ['service catalogue: no route names it', configure([])],
      ['has the name of route books', withRoute({ name: 'books' })],
      ['bodies of 100 bytes are below headers', withLimits({ maxBodyBytes: 100 })],
      ['above the 65536 bytes that entry VMs accept', withLimits({ maxHeaderBytes: 70_000 })],
      ['host and prefix alone exceed the 9 bytes', withLimits({ maxHeaderBytes: 9 })],
      ['idle timeout is 0 ms', withLimits({ idleTimeoutMilliseconds: 0 })],
      ['its servers accept no connection', configure([sound], { service: { connectionsPerServer: 0 } })],
      ['they are cold for 0 ms', configure([sound], { service: { coldStart } })],
      ['too large to be told apart', configure([sound], { revision: 1e20 })],
    ]);
    for (const [expected, configuration] of cases) {
      it(`reports: ${expected}`, () => {
        assert.match(findingsOf(configuration), expected);
      });
    }

    it('reports attempts above the number of servers', () => {
      assert.match(
        findingsOf(configure([sound]), 1),
        '2 attempts at service catalogue, which has 1 server now',
      );
      assert.match(
        findingsOf(configure([sound]), 0),
        'no-target: route books (a.example/books/): service catalogue',
      );
    });
  });
});

describe('the comparison of two route configurations', () => {
  it('states old and new values, and what is added and removed', () => {
    const before = configure([route('a'), route('b')]);
    const after = configure([route('a', { timeoutMilliseconds: 2_000 }), route('c')], {
      service: { connectionsPerServer: 20 },
    });
    assert.equal(compareRouteConfigurations(before, after).map(describeDifference), [
      'route a: timeout changes from 1000 ms to 2000 ms',
      'route b is removed',
      'service catalogue: maximum of connections changes from 10 to 20',
      'route c is added: host a.example, prefix /c/, kind idempotent, timeout 1000 ms, latency goal 500 ms, rank 1, attempts 2, target catalogue',
      'requests for a.example/b/ matched route b and now match nothing',
    ]);
  });

  it('names requests that another route gets', () => {
    const short = route('short', { pathPrefix: '/x/' });
    const equal = route('equal', { pathPrefix: '/x/' });
    const long = route('long', { pathPrefix: '/x/y/' });
    const rerouted = (before: readonly Route[], after: readonly Route[]): string =>
      compareRouteConfigurations(configure(before), configure(after))
        .filter(({ kind }) => kind === 'rerouted')
        .map(describeDifference)
        .join();
    assert.match(rerouted([short], [short, long]), '/x/y/ matched route short and now match route long');
    assert.match(
      rerouted([short, equal], [equal, short]),
      '/x/ matched route equal and now match route short',
    );
    assert.is(rerouted([short, long], [long, short]), '');
  });
});
