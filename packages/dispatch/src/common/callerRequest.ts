import type { Route } from '@hickoryhoist/routing/common/routeConfiguration.js';

/** A request that was read in full. Times are on the runtime's monotonic clock, in milliseconds. */
export interface CallerRequest {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  readonly key: number | undefined;
  readonly route: Route;
  readonly service: string;
  readonly isKeyed: boolean;
  readonly arrivedAt: number;
  /** Time by which an answer is in time; earlier than usual for a caller that came back. */
  readonly goalAt: number;
  /** Time after which the caller is no longer kept waiting. */
  readonly deadlineAt: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Headers of a server's answer, in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[]>>;

/** Why a request was not run. */
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

/** Why it is not known whether a request was run. */
export type UnknownReason = 'connection-lost' | 'deadline' | 'answer-damaged' | 'caller-left';

/** What became of a request. `not-run` is said only with proof that no server ran it or will run it. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      /** The server whose answer it is. */
      readonly serverId: string;
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMilliseconds: number }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };
