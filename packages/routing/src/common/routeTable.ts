import type { Route, RouteConfiguration, RoutedService } from './routeConfiguration.js';
import { WeightedRoundRobin } from './weightedRoundRobin.js';

/** The route of a request and the service that the request is sent to. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: RoutedService;
}

/** Finds the route of a request: the one of its host with the longest prefix of its path. */
export class RouteTable {
  readonly configuration: RouteConfiguration;
  readonly #routesByHost = new Map<string, Map<string, Route>>();
  readonly #roundRobins = new Map<Route, WeightedRoundRobin>();

  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      this.#routesByHost.set(route.host, routes);
      this.#roundRobins.set(route, new WeightedRoundRobin(route.services));
    }
  }

  match(host: string, path: string): RouteMatch | undefined {
    const route = this.findRoute(host, path);
    const name = route === undefined ? undefined : this.#roundRobins.get(route)?.next();
    const service = name === undefined ? undefined : this.configuration.services.get(name);
    return route === undefined || service === undefined ? undefined : { route, service };
  }

  /** Finds the route without choosing one of its services. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(normalizeHost(host));
    if (routes === undefined) {
      return undefined;
    }
    const query = path.indexOf('?');
    const end = query === -1 ? path.length : query;
    for (let slash = path.lastIndexOf('/', end - 1); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      const route = routes.get(path.slice(0, slash + 1));
      if (route !== undefined || slash === 0) {
        return route;
      }
    }
    return undefined;
  }
}

function normalizeHost(host: string): string {
  const port = host.indexOf(':');
  return (port === -1 ? host : host.slice(0, port)).toLowerCase();
}
