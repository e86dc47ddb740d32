import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { UnknownReason } from '../common/callerRequest.js';
import type { ServerCall, ServerCallResult, ServerProtocol } from '../common/serverCall.js';
import { YieldingSocket } from './yieldingSocket.js';

/** Timeout for a new connection, in milliseconds; a server usually accepts one within about 1 ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Idle time after which this side closes a connection, in milliseconds; servers do so after about 10 s. */
const IDLE_TIMEOUT_MILLISECONDS = 8_000;
/** Time beyond the server's own time limit for the response to arrive, in milliseconds. */
const RESPONSE_SLACK_MILLISECONDS = 150;
/**
 * Time that a server gets to finish a request after the caller disconnected, in milliseconds. Aborting costs
 * a new connection, which is not worth it for a shorter remainder.
 */
const DISCONNECT_GRACE_MILLISECONDS = 200;

/** The error with which this side aborts an exchange. */
class ExchangeEndedError extends HickoryhoistError {
  readonly code = 'exchange-ended';
  readonly reason: UnknownReason;

  constructor(reason: UnknownReason) {
    super(reason);
    this.reason = reason;
  }
}

/** A connection was not established in time. */
class ConnectTimeoutError extends HickoryhoistError {
  readonly code = 'connect-timeout';
}

interface Exchange {
  isWritten: boolean;
  status: number;
  headers: Record<string, string | string[]>;
  readonly chunks: Buffer[];
}

/** A connection to a server that carries one request at a time. */
export class ServerConnection implements Disposable {
  readonly #client: Client;
  readonly #protocol: ServerProtocol;
  #isUsable = true;
  #wasReset = false;

  /** Time of the last complete response on the monotonic clock. */
  lastResponseAt = 0;

  constructor(address: string, protocol: ServerProtocol) {
    this.#protocol = protocol;
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: ({ hostname, port }, callback) => {
        this.#connect(hostname, Number(port), callback);
      },
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#client.on('disconnect', () => {
      this.#isUsable = false;
    });
  }

  /** Whether the connection is open and its last response was complete. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  async send(call: ServerCall): Promise<ServerCallResult> {
    const result = await this.#exchange(call);
    if (result.kind === 'answered' || result.kind === 'refused') {
      this.lastResponseAt = performance.now();
    } else {
      this.#isUsable = false;
    }
    return result;
  }

  dispose(): void {
    this.#isUsable = false;
    void this.#client.destroy();
  }

  #connect(host: string, port: number, callback: (...result: [null, Socket] | [Error, null]) => void): void {
    const socket = new YieldingSocket();
    socket.connect({ host, port, noDelay: true });
    let isConnected = false;
    const timer = setTimeout(() => {
      socket.destroy(new ConnectTimeoutError(`connection to ${host}:${port.toString()} timed out`));
    }, CONNECT_TIMEOUT_MILLISECONDS);
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

  #exchange(call: ServerCall): Promise<ServerCallResult> {
    return new Promise((resolve) => {
      const exchange: Exchange = { isWritten: false, status: 0, headers: {}, chunks: [] };
      let controller: Dispatcher.DispatchController | undefined;
      const abort = (reason: UnknownReason): void => {
        if (controller === undefined) {
          finish({ kind: 'not-written' });
          void this.#client.destroy();
        } else {
          controller.abort(new ExchangeEndedError(reason));
        }
      };
      const timer = setTimeout(() => {
        abort('deadline');
      }, call.timeoutMilliseconds + RESPONSE_SLACK_MILLISECONDS);
      let disconnectTimer: NodeJS.Timeout | undefined;
      const onDisconnect = (): void => {
        disconnectTimer = setTimeout(() => {
          abort('caller-left');
        }, DISCONNECT_GRACE_MILLISECONDS);
      };
      const finish = (result: ServerCallResult): void => {
        clearTimeout(timer);
        clearTimeout(disconnectTimer);
        call.signal.removeEventListener('abort', onDisconnect);
        resolve(result);
      };
      call.signal.addEventListener('abort', onDisconnect, { once: true });
      this.#client.dispatch(
        {
          method: call.method,
          path: call.target,
          headers: {
            ...definedHeaders(call.headers),
            host: call.host,
            ...this.#protocol.requestHeaders(call),
          },
          body: call.body.length === 0 ? null : call.body,
        },
        {
          onRequestStart: (started) => {
            if (exchange.isWritten) {
              // Otherwise the client resends the request on a new connection, which could run it twice.
              started.abort(new ExchangeEndedError('connection-lost'));
              return;
            }
            controller = started;
            exchange.isWritten = true;
          },
          onResponseStart: (_controller, status, headers) => {
            exchange.status = status;
            exchange.headers = definedHeaders(headers);
          },
          onResponseData: (_controller, chunk) => {
            exchange.chunks.push(chunk);
          },
          onResponseEnd: () => {
            finish(this.#classifyResponse(call, exchange));
          },
          onResponseError: (_controller, error) => {
            finish(classifyError(exchange, error));
          },
        },
      );
    });
  }

  #classifyResponse(call: ServerCall, { status, headers, chunks }: Exchange): ServerCallResult {
    const responseId = this.#protocol.responseRequestId(headers);
    if (responseId !== undefined && responseId !== call.requestId) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    if (this.#wasReset && !isSelfDelimiting(headers)) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    const refusal = this.#protocol.refusal(status, headers);
    if (refusal !== undefined) {
      return { kind: 'refused', refusal };
    }
    if (!this.#protocol.isGenuine(status, headers)) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    return { kind: 'answered', status, headers, body: Buffer.concat(chunks) };
  }
}

function classifyError(exchange: Exchange, error: Error): ServerCallResult {
  if (!exchange.isWritten) {
    return { kind: 'not-written' };
  }
  if (error instanceof ExchangeEndedError) {
    return { kind: 'lost', reason: error.reason };
  }
  return { kind: 'lost', reason: exchange.status === 0 ? 'connection-lost' : 'answer-damaged' };
}

/** Whether the headers of a response delimit its body; otherwise the body ends with the connection. */
function isSelfDelimiting(headers: Readonly<Record<string, string | string[]>>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function definedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const defined: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      defined[name] = value;
    }
  }
  return defined;
}
