import type { Dispatcher } from 'undici';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';

/** There was no complete response in time. */
export class RequestTimeoutError extends HickoryhoistError {
  readonly code = 'request-timeout';
}

/** A small request whose response is text. */
export interface TextRequest {
  /** `http://host:port`. */
  readonly origin: string;
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time for the connection, the request and the whole response, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Ends the request before its time. */
  readonly signal?: AbortSignal;
}

export interface TextReply {
  readonly status: number;
  readonly text: string;
}

/**
 * Sends a request and reads the whole response. The HTTP client takes notice of an aborted signal only when it has a
 * connection, so the time is limited here: a connection to a machine without power is established or refused by nobody.
 * @throws RequestTimeoutError, the reason of the signal, or an error of the HTTP client.
 */
export async function requestText(dispatcher: Dispatcher, request: TextRequest): Promise<TextReply> {
  const { timeoutMilliseconds, signal } = request;
  const abortion = new AbortController();
  let onAbort = (): void => undefined;
  let timer: NodeJS.Timeout | undefined;
  const ended = new Promise<never>((_resolve, reject) => {
    const end = (reason: Error): void => {
      reject(reason);
      abortion.abort(reason);
    };
    timer = setTimeout(() => {
      end(new RequestTimeoutError(`no response within ${timeoutMilliseconds.toString()} ms`));
    }, timeoutMilliseconds);
    onAbort = () => {
      end(signal?.reason as Error);
    };
  });
  if (signal?.aborted === true) {
    onAbort();
  }
  signal?.addEventListener('abort', onAbort, { once: true });
  try {
    return await Promise.race([exchange(dispatcher, request, abortion.signal), ended]);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener('abort', onAbort);
  }
}

async function exchange(
  dispatcher: Dispatcher,
  { origin, method, path, headers, body }: TextRequest,
  signal: AbortSignal,
): Promise<TextReply> {
  const response = await dispatcher.request({
    origin,
    method,
    path,
    body: body ?? null,
    signal,
    ...(headers === undefined ? {} : { headers }),
  });
  return { status: response.statusCode, text: await response.body.text() };
}
