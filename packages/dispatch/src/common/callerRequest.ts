import type { Route } from '@hickoryhoist/routing/common/routeConfiguration.js';

/** A caller's request with its complete body. Times are milliseconds on the runtime's monotonic clock. */
export interface CallerRequest {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Expected size of the response in bytes, if it matters to the choice of the server. */
  readonly responseBytes?: number | undefined;
  readonly key: number | undefined;
  readonly route: Route;
  readonly service: string;
  readonly isKeyed: boolean;
  readonly arrivedAt: number;
  /** Time by which a response meets the latency goal, counted from the caller's first attempt. */
  readonly goalAt: number;
  /** Time at which the request times out. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Headers of a server's response, with lower-case names. */
export type ResponseHeaders = Readonly<Record<string, string | string[]>>;

/** Reason why no server ran a request. */
export type NotRunReason =
  | 'no-configuration'
  | 'unknown-route'
  | 'no-server'
  | 'no-owner'
  | 'overloaded'
  | 'crashes-servers'
  | 'server-refused'
  | 'unreachable'
  | 'deadline';

/** Reason why it is unknown whether a server ran a request. */
export type UnknownReason =
  'connection-lost' | 'deadline' | 'answer-damaged' | 'answer-too-large' | 'caller-left';

/** Outcome of a request. `not-run` requires proof that no server ran it or will run it. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      /** The server that sent the response. */
      readonly serverId: string;
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMilliseconds: number }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };
