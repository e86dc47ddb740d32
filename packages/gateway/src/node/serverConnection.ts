import { Client, type Dispatcher } from 'undici';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { headerNames, parseRefusal, REFUSAL_STATUS } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { OWNERSHIP_PATH } from '@hickoryhoist/protocol/common/serverMessages.js';
import type { AttemptResult, LossCause, ServerRequest } from '../common/serverTransport.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** Aborts an exchange with the cause that its result reports. */
class ExchangeEndedError extends HickoryhoistError {
  readonly code = 'exchange-ended';
  override readonly cause: LossCause;

  constructor(cause: LossCause) {
    super(cause);
    this.cause = cause;
  }
}

interface Exchange {
  isWritten: boolean;
  status: number;
  headers: Record<string, string | string[]>;
  readonly chunks: Buffer[];
  size: number;
}

/** Connection to a server that carries one request at a time. */
export class ServerConnection implements Disposable {
  readonly #client: Client;
  #isBroken = false;

  /** Time of the last complete response on this connection (`performance.now`); undefined if there is none. */
  lastResponseAt: number | undefined;

  constructor(address: string) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#client.on('disconnect', () => {
      this.lastResponseAt = undefined;
    });
  }

  get isBroken(): boolean {
    return this.#isBroken;
  }

  /** Sends one request. The connection is broken afterwards unless the response was complete. */
  async send(request: ServerRequest): Promise<AttemptResult> {
    const result = await this.#exchange(request);
    if (result.kind === 'answered' || result.kind === 'refused') {
      this.lastResponseAt = performance.now();
    } else {
      this.#isBroken = true;
    }
    return result;
  }

  /** Checks whether the connection still works. Any response of the server shows that it does. */
  async probe(timeoutMilliseconds: number): Promise<boolean> {
    try {
      const response = await this.#client.request({
        method: 'HEAD',
        path: OWNERSHIP_PATH,
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      await response.body.dump();
      this.lastResponseAt = performance.now();
      return true;
    } catch {
      this.#isBroken = true;
      return false;
    }
  }

  dispose(): void {
    this.#isBroken = true;
    void this.#client.destroy();
  }

  #exchange(request: ServerRequest): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const exchange: Exchange = { isWritten: false, status: 0, headers: {}, chunks: [], size: 0 };
      let controller: Dispatcher.DispatchController | undefined;
      const end = (cause: LossCause): void => {
        if (controller === undefined) {
          finish({ kind: 'not-written' });
          void this.#client.destroy();
        } else {
          controller.abort(new ExchangeEndedError(cause));
        }
      };
      const timer = setTimeout(() => {
        end('deadline');
      }, request.timeoutMilliseconds);
      const onAbort = (): void => {
        end('connection-lost');
      };
      const finish = (result: AttemptResult): void => {
        clearTimeout(timer);
        request.signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      request.signal.addEventListener('abort', onAbort, { once: true });
      this.#client.dispatch(
        {
          method: request.method,
          path: request.target,
          headers: request.headers,
          body: request.body.length === 0 ? null : request.body,
        },
        {
          onRequestStart: (started) => {
            controller = started;
            if (!request.mayStillSend()) {
              started.abort(new ExchangeEndedError('connection-lost'));
              return;
            }
            exchange.isWritten = true;
          },
          onResponseStart: (_controller, status, headers) => {
            exchange.status = status;
            exchange.headers = definedHeaders(headers);
          },
          onResponseData: (active, chunk) => {
            exchange.chunks.push(chunk);
            exchange.size += chunk.length;
            if (exchange.size > request.answerLimitBytes) {
              active.abort(new ExchangeEndedError('answer-too-large'));
            }
          },
          onResponseEnd: () => {
            finish(classifyResponse(request, exchange));
          },
          onResponseError: (_controller, error) => {
            finish(classifyError(exchange, error));
          },
        },
      );
    });
  }
}

function classifyResponse(request: ServerRequest, exchange: Exchange): AttemptResult {
  const { status, headers, chunks } = exchange;
  const echoedId = headers[headerNames.requestId];
  if (echoedId !== undefined && echoedId !== request.requestId) {
    return { kind: 'lost', cause: 'answer-damaged' };
  }
  const refusalText = headers[headerNames.refusal];
  const refusal = parseRefusal(typeof refusalText === 'string' ? refusalText : undefined);
  if (status === REFUSAL_STATUS && refusal !== undefined) {
    return { kind: 'refused', refusal };
  }
  return { kind: 'answered', status, headers, body: Buffer.concat(chunks) };
}

function classifyError(exchange: Exchange, error: Error): AttemptResult {
  if (!exchange.isWritten) {
    return { kind: 'not-written' };
  }
  if (error instanceof ExchangeEndedError) {
    return { kind: 'lost', cause: error.cause };
  }
  return { kind: 'lost', cause: exchange.status === 0 ? 'connection-lost' : 'answer-damaged' };
}

function definedHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined),
  );
}
