import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { UnknownReason } from '../common/callerRequest.js';
import { PiecewiseSocket } from './piecewiseSocket.js';
import type { ServerCall, ServerCallResult, ServerProtocol } from '../common/serverCall.js';

/** Longest time for a new connection, in milliseconds; a server takes about 1 ms for it. */
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Idle time after which a connection is closed from this side; servers close theirs after about 10 s. */
const KEEP_ALIVE_MILLISECONDS = 8_000;
/** Time beyond a server's own time limit for its answer to arrive, in milliseconds. */
const ANSWER_SLACK_MILLISECONDS = 150;
/** Time for which a server may finish after the caller left; a shorter rest is not worth a new connection. */
const LEFT_CALLER_MILLISECONDS = 200;

/** Ends an exchange from this side. */
class ExchangeEndedError extends HickoryhoistError {
  readonly code = 'exchange-ended';
  readonly reason: UnknownReason;

  constructor(reason: UnknownReason) {
    super(reason);
    this.reason = reason;
  }
}

/** A connection was not made in time. */
class ConnectTimeoutError extends HickoryhoistError {
  readonly code = 'connect-timeout';
}

interface Exchange {
  isWritten: boolean;
  status: number;
  headers: Record<string, string | string[]>;
  readonly chunks: Buffer[];
}

/** One connection to a server, which carries one request at a time. */
export class ServerConnection implements Disposable {
  readonly #client: Client;
  readonly #dialect: ServerProtocol;
  #isUsable = true;
  #wasReset = false;

  /** Time of the last complete answer on the monotonic clock. */
  provenAt = 0;

  constructor(address: string, dialect: ServerProtocol) {
    this.#dialect = dialect;
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: ({ hostname, port }, callback) => {
        this.#connect(hostname, Number(port), callback);
      },
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#client.on('disconnect', () => {
      this.#isUsable = false;
    });
  }

  /** Whether the connection is open and its last answer was complete. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  async send(call: ServerCall): Promise<ServerCallResult> {
    const result = await this.#exchange(call);
    if (result.kind === 'answered' || result.kind === 'refused') {
      this.provenAt = performance.now();
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
    const socket = new PiecewiseSocket();
    socket.connect({ host, port, noDelay: true });
    let isConnected = false;
    const timer = setTimeout(() => {
      socket.destroy(new ConnectTimeoutError(`no connection to ${host}:${port.toString()} in time`));
    }, CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => {
      clearTimeout(timer);
      isConnected = true;
      callback(null, socket);
    });
    socket.on('error', (error) => {
      clearTimeout(timer);
      // The client takes a reset for the end of an answer without a length, so it is noted here.
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
      const end = (reason: UnknownReason): void => {
        if (controller === undefined) {
          finish({ kind: 'not-written' });
          void this.#client.destroy();
        } else {
          controller.abort(new ExchangeEndedError(reason));
        }
      };
      const timer = setTimeout(() => {
        end('deadline');
      }, call.timeoutMilliseconds + ANSWER_SLACK_MILLISECONDS);
      let leftTimer: NodeJS.Timeout | undefined;
      const onAbort = (): void => {
        leftTimer = setTimeout(() => {
          end('caller-left');
        }, LEFT_CALLER_MILLISECONDS);
      };
      const finish = (result: ServerCallResult): void => {
        clearTimeout(timer);
        clearTimeout(leftTimer);
        call.signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      call.signal.addEventListener('abort', onAbort, { once: true });
      this.#client.dispatch(
        {
          method: call.method,
          path: call.target,
          headers: {
            ...definedHeaders(call.headers),
            host: call.host,
            ...this.#dialect.requestHeaders(call),
          },
          body: call.body.length === 0 ? null : call.body,
        },
        {
          onRequestStart: (started) => {
            if (exchange.isWritten) {
              // The client would send the request once more on a new connection.
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
            finish(this.#judgeAnswer(call, exchange));
          },
          onResponseError: (_controller, error) => {
            finish(judgeError(exchange, error));
          },
        },
      );
    });
  }

  #judgeAnswer(call: ServerCall, { status, headers, chunks }: Exchange): ServerCallResult {
    const answeredId = this.#dialect.responseRequestId(headers);
    if (answeredId !== undefined && answeredId !== call.requestId) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    if (this.#wasReset && !isFramed(headers)) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    const refusal = this.#dialect.refusal(status, headers);
    if (refusal !== undefined) {
      return { kind: 'refused', refusal };
    }
    if (!this.#dialect.isGenuine(status, headers)) {
      return { kind: 'lost', reason: 'answer-damaged' };
    }
    return { kind: 'answered', status, headers, body: Buffer.concat(chunks) };
  }
}

function judgeError(exchange: Exchange, error: Error): ServerCallResult {
  if (!exchange.isWritten) {
    return { kind: 'not-written' };
  }
  if (error instanceof ExchangeEndedError) {
    return { kind: 'lost', reason: error.reason };
  }
  return { kind: 'lost', reason: exchange.status === 0 ? 'connection-lost' : 'answer-damaged' };
}

/** Whether an answer says where it ends; others end with their connection. */
function isFramed(headers: Readonly<Record<string, string | string[]>>): boolean {
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
