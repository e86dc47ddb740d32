import type { ResponseHeaders, UnknownReason } from './callerRequest.js';

/** One attempt to have a request run by one server. */
export interface ServerCall {
  readonly requestId: string;
  readonly serverId: string;
  readonly address: string;
  readonly host: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Whether the request may run a second time when its connection turns out to be dead. */
  readonly isIdempotent: boolean;
  /** Time that the server has for it, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Connections to the server that may stay open without a request. */
  readonly maxIdleConnections: number;
  readonly signal: AbortSignal;
}

/** Why a server did not run a request. */
export type ServerRefusal =
  /** Another process has the address, or the server does not own the key. */
  | 'misdirected'
  /** The server is full or asks to come later. */
  | 'overloaded';

/** What became of one attempt. */
export type ServerCallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  /** The server said that it did not run the request. */
  | { readonly kind: 'refused'; readonly refusal: ServerRefusal }
  /** No byte of the request was written to a connection. */
  | { readonly kind: 'not-written' }
  /** The request may have run. */
  | { readonly kind: 'lost'; readonly reason: UnknownReason };

/** Sends requests to servers. It never sends one attempt twice. */
export interface ServerTransport {
  call(call: ServerCall): Promise<ServerCallResult>;
}

/** How headers and statuses of servers are written and read. */
export interface ServerProtocol {
  /** Headers that name the request, the server meant and the time that is left. */
  requestHeaders(call: ServerCall): Record<string, string>;
  /** Request that an answer belongs to, where it says so. */
  responseRequestId(headers: ResponseHeaders): string | undefined;
  /** Whether the answer says that the request was not run. */
  refusal(status: number, headers: ResponseHeaders): ServerRefusal | undefined;
  /** Whether an answer of this status is a server's own, complete answer. */
  isGenuine(status: number, headers: ResponseHeaders): boolean;
}
