import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { ResponseMemory } from '../common/responseMemory.js';
import { Exchange, ExchangeEndedError, type LossReason, type ReceivedHeaders } from './exchange.js';
import { ResponseSocket } from './responseSocket.js';

/**
 * Number of requests after which a connection is closed. A connection remembers the identifiers of its requests;
 * this bounds them.
 */
const MAX_REQUESTS_PER_CONNECTION = 256;
/**
 * Bytes of chunk framing tolerated for each byte of a body, beyond the limit on the head. A chunk of one byte is framed
 * by five, and a long body in such chunks occupies the processor rather than memory.
 */
const FRAMING_BYTES_PER_BODY_BYTE = 1;
const FIRST_FINAL_STATUS = 200;

/** Result of one exchange. */
export type ExchangeResult =
  /** A complete response that carries the identifier of the request. */
  | {
      readonly kind: 'received';
      readonly status: number;
      readonly headers: ReceivedHeaders;
      readonly body: Buffer;
    }
  /** No byte of the request was written to a connection, so the server cannot have run it. */
  | { readonly kind: 'not-written' }
  /** The request was written and may have been run. */
  | { readonly kind: 'lost'; readonly reason: LossReason };

/** A request to send. */
export interface ExchangeRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly maxResponseBodyBytes: number;
  /** Time until the exchange ends without a response, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Time that the server gets to respond after the caller disconnected, in milliseconds. */
  readonly disconnectGraceMilliseconds: number;
  /** Called directly before the first byte is written. If it returns false, nothing is written. */
  readonly mayStillSend: () => boolean;
}

export interface HttpConnectionOptions {
  readonly connectTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
  /** Maximum bytes of a response besides its body; see `ResponseLimits`. */
  readonly maxHeadBytes: number;
  readonly memory: ResponseMemory;
  /** Identifier of the request that a response belongs to, if the response carries exactly one. */
  readonly responseRequestId: (headers: ReceivedHeaders) => string | undefined;
}

/** A connection was not established in time. */
class ConnectTimeoutError extends HickoryhoistError {
  readonly code = 'connect-timeout';
}

/** Bytes arrived on a connection without a request in flight. */
class UnexpectedBytesError extends HickoryhoistError {
  readonly code = 'unexpected-bytes';
}

/**
 * A connection to a server that carries one request at a time. Each response is checked to be complete, within
 * limits and to carry the identifier of its request.
 */
export class HttpConnection implements Disposable {
  readonly #client: Client;
  readonly #options: HttpConnectionOptions;
  /** Identifiers of the requests that were sent on this connection. */
  readonly #requestIds = new Set<string>();
  #isUsable = true;
  #wasReset = false;
  #current: Exchange | undefined;

  /** Time of the last complete response on the monotonic clock; 0 if there was none. */
  lastResponseAt = 0;

  constructor(address: string, options: HttpConnectionOptions) {
    this.#options = options;
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: ({ hostname, port }, callback) => {
        this.#connect(hostname, Number(port), callback);
      },
      keepAliveTimeout: options.idleTimeoutMilliseconds,
      keepAliveMaxTimeout: options.idleTimeoutMilliseconds,
      maxHeaderSize: options.maxHeadBytes,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#client.on('disconnect', () => {
      this.#isUsable = false;
    });
  }

  /** Whether the connection is open and its last response was complete. */
  get isUsable(): boolean {
    return this.#isUsable && this.#requestIds.size < MAX_REQUESTS_PER_CONNECTION;
  }

  /**
   * Whether a request with this identifier was already sent on this connection. A copy of the response to the first
   * try would look like the response to a second one.
   */
  hasCarried(requestId: string): boolean {
    return this.#requestIds.has(requestId);
  }

  /**
   * Waits until bytes that have already arrived on an idle connection are noticed; these close it.
   * @returns whether the connection is still usable.
   */
  async remainsUsable(): Promise<boolean> {
    await waitForPendingIo();
    return this.isUsable;
  }

  async send(request: ExchangeRequest): Promise<ExchangeResult> {
    this.#requestIds.add(request.requestId);
    const result = await this.#exchange(request);
    if (result.kind === 'received') {
      this.lastResponseAt = performance.now();
    } else {
      this.#isUsable = false;
    }
    return result;
  }

  /**
   * Checks whether the connection still works: any complete response of the server shows that it does.
   * @throws an error of the HTTP client if it does not.
   */
  async probe(path: string, timeoutMilliseconds: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      let timer: NodeJS.Timeout | undefined;
      this.#client.dispatch(
        { method: 'HEAD', path },
        {
          onRequestStart: (controller) => {
            this.#current = new Exchange(controller, this.#options.memory);
            timer = setTimeout(() => {
              controller.abort(new ExchangeEndedError('deadline'));
            }, timeoutMilliseconds);
          },
          onResponseEnd: () => {
            this.#endExchange();
            clearTimeout(timer);
            this.lastResponseAt = performance.now();
            resolve();
          },
          onResponseError: (_controller, error) => {
            this.#endExchange();
            clearTimeout(timer);
            this.#isUsable = false;
            reject(error);
          },
        },
      );
    });
  }

  dispose(): void {
    this.#isUsable = false;
    void this.#client.destroy();
  }

  #connect(host: string, port: number, callback: (...result: [null, Socket] | [Error, null]) => void): void {
    const socket: Socket = new ResponseSocket((byteCount) => this.#acceptsBytes(socket, byteCount));
    socket.connect({ host, port, noDelay: true });
    let isConnected = false;
    const timer = setTimeout(() => {
      socket.destroy(new ConnectTimeoutError(`connection to ${host}:${port.toString()} timed out`));
    }, this.#options.connectTimeoutMilliseconds);
    socket.once('connect', () => {
      clearTimeout(timer);
      isConnected = true;
      callback(null, socket);
    });
    socket.on('error', (error) => {
      clearTimeout(timer);
      // The client treats a reset as the end of a response without a content length, so record the reset.
      this.#wasReset = true;
      if (!isConnected) {
        callback(error, null);
      }
    });
  }

  /** The chunks before this one have been parsed, so the counts of the exchange are up to date. */
  #acceptsBytes(socket: Socket, byteCount: number): boolean {
    const exchange = this.#current;
    if (exchange === undefined) {
      this.#isUsable = false;
      socket.destroy(new UnexpectedBytesError('bytes arrived without a request in flight'));
      return false;
    }
    const overheadBytes = exchange.rawBytes - exchange.bodyBytes;
    exchange.rawBytes += byteCount;
    const { maxHeadBytes } = this.#options;
    if (overheadBytes > maxHeadBytes + FRAMING_BYTES_PER_BODY_BYTE * exchange.bodyBytes) {
      exchange.discard();
      return false;
    }
    return true;
  }

  #endExchange(): void {
    this.#current?.end();
    this.#current = undefined;
  }

  #exchange(request: ExchangeRequest): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      let exchange: Exchange | undefined;
      let controller: Dispatcher.DispatchController | undefined;
      const abort = (reason: LossReason): void => {
        if (controller === undefined) {
          finish({ kind: 'not-written' });
          void this.#client.destroy();
        } else {
          controller.abort(new ExchangeEndedError(reason));
        }
      };
      const timer = setTimeout(() => {
        abort('deadline');
      }, request.timeoutMilliseconds);
      let disconnectTimer: NodeJS.Timeout | undefined;
      const onDisconnect = (): void => {
        disconnectTimer = setTimeout(() => {
          abort('caller-left');
        }, request.disconnectGraceMilliseconds);
      };
      const finish = (result: ExchangeResult): void => {
        clearTimeout(timer);
        clearTimeout(disconnectTimer);
        request.signal.removeEventListener('abort', onDisconnect);
        this.#endExchange();
        resolve(result);
      };
      request.signal.addEventListener('abort', onDisconnect, { once: true });
      this.#client.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body.length === 0 ? null : request.body,
        },
        {
          onRequestStart: (started) => {
            if (exchange !== undefined) {
              // Otherwise the client resends the request on a new connection, which could run it twice.
              started.abort(new ExchangeEndedError('connection-lost'));
              return;
            }
            controller = started;
            if (!request.mayStillSend()) {
              started.abort(new ExchangeEndedError('connection-lost'));
              return;
            }
            exchange = new Exchange(started, this.#options.memory);
            this.#current = exchange;
          },
          onResponseStart: (_controller, status, headers) => {
            if (exchange !== undefined && status >= FIRST_FINAL_STATUS) {
              exchange.status = status;
              exchange.headers = definedHeaders(headers);
            }
          },
          onResponseData: (_controller, chunk) => {
            exchange?.append(chunk);
            if ((exchange?.bodyBytes ?? 0) > request.maxResponseBodyBytes) {
              exchange?.discard();
            }
          },
          onResponseEnd: () => {
            finish(
              exchange === undefined ? { kind: 'not-written' } : this.#resultOf(request.requestId, exchange),
            );
          },
          onResponseError: (_controller, error) => {
            finish(resultOfError(exchange, error));
          },
        },
      );
    });
  }

  #resultOf(requestId: string, { status, headers, body }: Exchange): ExchangeResult {
    const isTruncated = this.#wasReset && !isSelfDelimiting(headers);
    if (isTruncated || this.#options.responseRequestId(headers) !== requestId) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    return { kind: 'received', status, headers, body };
  }
}

function resultOfError(exchange: Exchange | undefined, error: Error): ExchangeResult {
  if (exchange === undefined) {
    return { kind: 'not-written' };
  }
  if (error instanceof ExchangeEndedError) {
    return { kind: 'lost', reason: error.reason };
  }
  return { kind: 'lost', reason: exchange.status === 0 ? 'connection-lost' : 'answer-damaged' };
}

/** Whether the headers of a response delimit its body; otherwise the body ends with the connection. */
function isSelfDelimiting(headers: ReceivedHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function definedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined),
  );
}
