import type { ResponseHeaders, UnknownReason } from './callerRequest.js';
import type { ServerStatements } from './serverStatements.js';

/** One attempt to send a request to one server. */
export interface ServerCall {
  readonly requestId: string;
  readonly serverId: string;
  readonly address: string;
  readonly host: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Whether the request may run twice, so that it may be sent over a connection that could be stale. */
  readonly isIdempotent: boolean;
  /** Time limit of the server for this request, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Maximum number of idle connections to keep open to the server. */
  readonly maxIdleConnections: number;
  readonly signal: AbortSignal;
}

/** Reason why a server refused a request without running it. */
export type ServerRefusal =
  /** The address belongs to another process by now, or the server does not own the key. */
  | 'misdirected'
  /** The server has no capacity or asks for a later retry. */
  | 'overloaded';

/** Result of one attempt. */
export type ServerCallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
      readonly statements?: ServerStatements;
    }
  /** The server reported that it did not run the request. */
  | { readonly kind: 'refused'; readonly refusal: ServerRefusal; readonly statements?: ServerStatements }
  /** No byte of the request was written to a connection, so the server cannot have run it. */
  | { readonly kind: 'not-written' }
  /** The request was written without a valid response, so the server may have run it. */
  | { readonly kind: 'lost'; readonly reason: UnknownReason; readonly statements?: ServerStatements };

/** Sends requests to servers. A call is written to at most one connection. */
export interface ServerTransport {
  call(call: ServerCall): Promise<ServerCallResult>;
}

/** Headers and status codes of the protocol between entry VMs and servers. */
export interface ServerProtocol {
  /** Headers with the request identifier, the target server and the remaining time. */
  requestHeaders(call: ServerCall): Record<string, string>;
  /** Identifier of the request that a response belongs to, if the response carries exactly one. */
  responseRequestId(headers: ResponseHeaders): string | undefined;
  /** Reason for which the server did not run the request, if the response reports one. */
  refusal(status: number, headers: ResponseHeaders): ServerRefusal | undefined;
  /** What the server states about itself in a response. */
  statements(status: number, headers: ResponseHeaders): ServerStatements;
  /**
   * Whether a response that is no refusal may be passed on: it is a complete response of the server itself, and its
   * status does not tell the caller that the request was not run.
   */
  isGenuine(status: number, headers: ResponseHeaders): boolean;
}
