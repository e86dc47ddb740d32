import type { ServerRefusal } from '@hickoryhoist/protocol/common/requestHeaders.js';
import type { ResponseHeaders } from './requestOutcome.js';

/** One attempt to send a request to a server. */
export interface ServerRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly requestId: string;
  readonly isIdempotent: boolean;
  readonly timeoutMilliseconds: number;
  readonly answerLimitBytes: number;
  readonly connectionLimit: number;
  readonly signal: AbortSignal;
  /** Called directly before the first byte is written. If it returns false, nothing is written. */
  readonly mayStillSend: () => boolean;
}

/** Why an attempt that may have been run has no usable response. */
export type LossCause = 'connection-lost' | 'deadline' | 'answer-damaged' | 'answer-too-large';

/** Result of one attempt. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  /** The server responded that it did not run the request. */
  | { readonly kind: 'refused'; readonly refusal: ServerRefusal }
  /** No byte of the request was written to a socket. */
  | { readonly kind: 'not-written' }
  /** The request may have been run. */
  | { readonly kind: 'lost'; readonly cause: LossCause };

/** Sends requests to servers. Never sends one attempt twice. */
export interface ServerTransport {
  send(request: ServerRequest): Promise<AttemptResult>;
}
