import type { ServerRefusal } from '@hickoryhoist/protocol/common/requestHeaders.js';
import type { ResponseHeaders } from './requestOutcome.js';

/** One attempt to have a request run by a server. */
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
  /** Asked directly before the first byte is written; when it says no, nothing is written. */
  readonly mayStillSend: () => boolean;
}

/** Why an attempt whose first byte may have left brought no answer. */
export type LossCause = 'connection-lost' | 'deadline' | 'answer-damaged' | 'answer-too-large';

/** What became of one attempt. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  /** The server said that it did not run the request. */
  | { readonly kind: 'refused'; readonly refusal: ServerRefusal }
  /** No byte of the request was written to a socket. */
  | { readonly kind: 'not-written' }
  /** The request may have been run. */
  | { readonly kind: 'lost'; readonly cause: LossCause };

/** Sends requests to servers. It never sends an attempt twice. */
export interface ServerTransport {
  send(request: ServerRequest): Promise<AttemptResult>;
}
