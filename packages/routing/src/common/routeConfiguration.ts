/** How requests may be retried: `idempotent` requests may run more than once, all others at most once. */
export type RequestKind = 'idempotent' | 'at-most-once' | 'upload';

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Weight relative to the other services of the route, at least 0. */
  readonly weight: number;
}

/** Configuration of the requests under one path prefix of one host. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Request timeout in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Latency goal in milliseconds. */
  readonly goalMilliseconds: number;
  /** Priority rank among the requests of a service; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** One or more services. */
  readonly services: readonly WeightedService[];
}

/** What servers of a service bear while they are cold. */
export interface ColdStartLimits {
  /** For how long a server stays cold after its start, in milliseconds. */
  readonly warmupMilliseconds: number;
  /** Requests a second that a cold server bears from all entry VMs together. */
  readonly requestsPerSecond: number;
}

/** A service that routes can refer to. */
export interface RoutedService {
  readonly name: string;
  /** `keyed`: requests run on the owner of their key. `pooled`: requests run on any server. */
  readonly kind: 'keyed' | 'pooled';
  /** Maximum number of connections that one server accepts from all its clients together. */
  readonly connectionsPerServer: number;
  /** Undefined if cold servers of the service bear any rate. */
  readonly coldStart?: ColdStartLimits | undefined;
}

/** Bytes of headers that entry VMs accept at most, whatever the configuration allows. */
export const MAX_HEADER_BYTES = 65_536;

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A complete revision of the configuration. */
export interface RouteConfiguration {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}
