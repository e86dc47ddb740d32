/** What may be sent again: `idempotent` requests may run more than once, all others at most once. */
export type RequestKind = 'idempotent' | 'at-most-once' | 'upload';

/** A service and the part of a route's requests that it gets. */
export interface WeightedService {
  readonly service: string;
  /** Weight relative to the other services of the route, at least 0. */
  readonly weight: number;
}

/** How requests under one path prefix of one host are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is in time, in milliseconds. */
  readonly goalMilliseconds: number;
  /** Rank among the requests of a service; 0 is the most urgent. */
  readonly rank: number;
  /** Servers that one request may be sent to at most. */
  readonly maxAttempts: number;
  /** One or more services. */
  readonly services: readonly WeightedService[];
}

/** A service that routes refer to. */
export interface RoutedService {
  readonly name: string;
  /** `keyed`: the owner of the key runs a request; `pooled`: any server does. */
  readonly kind: 'keyed' | 'pooled';
  /** Connections that one server accepts from all callers together. */
  readonly connectionsPerServer: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One version of the configuration, as a whole. */
export interface RouteConfiguration {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}
