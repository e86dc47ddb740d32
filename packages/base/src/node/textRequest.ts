import type { Dispatcher } from 'undici';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';

/** There was no complete response in time. */
export class RequestTimeoutError extends HickoryhoistError {
  readonly code = 'request-timeout';
}

/** A response had more bytes than its request allows. */
export class ResponseTooLargeError extends HickoryhoistError {
  readonly code = 'response-too-large';
}

/** Default of `maxResponseBytes`: room for a page of the platform's store, or a table of another process. */
const DEFAULT_MAX_RESPONSE_BYTES = 33_554_432;

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

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
  /** Bytes of the body beyond which the response is given up; by default what a process that we trust may send. */
  readonly maxResponseBytes?: number;
  /** Called with the headers of the response, with names in lower case. */
  readonly onHeaders?: (headers: ResponseHeaders) => void;
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
 * @throws RequestTimeoutError, ResponseTooLargeError, the reason of the signal, or an error of the HTTP client.
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
  {
    origin,
    method,
    path,
    headers,
    body,
    onHeaders,
    maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES,
  }: TextRequest,
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
  onHeaders?.(response.headers);
  return { status: response.statusCode, text: await readText(response.body, maxResponseBytes) };
}

async function readText(body: AsyncIterable<unknown>, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > maxBytes) {
      throw new ResponseTooLargeError(`more than ${maxBytes.toString()} bytes`);
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks, length).toString('utf8');
}
