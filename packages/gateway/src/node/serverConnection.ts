import { firstHeaderValue, singleHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { defaultResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import type { ResponseMemory } from '@hickoryhoist/connection/common/responseMemory.js';
import type { LossReason } from '@hickoryhoist/connection/node/exchange.js';
import { type ExchangeResult, HttpConnection } from '@hickoryhoist/connection/node/httpConnection.js';
import { headerNames, parseRefusal, REFUSAL_STATUS } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { OWNERSHIP_PATH } from '@hickoryhoist/protocol/common/serverMessages.js';
import type { AttemptResult, LossCause, ServerRequest } from '../common/serverTransport.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** Connection to a server that carries one request at a time. */
export class ServerConnection implements Disposable {
  readonly #connection: HttpConnection;

  constructor(address: string, memory: ResponseMemory) {
    this.#connection = new HttpConnection(address, {
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: KEEP_ALIVE_MILLISECONDS,
      maxHeadBytes: defaultResponseLimits.maxHeadBytes,
      memory,
      responseRequestId: (headers) => singleHeaderValue(headers, headerNames.requestId),
    });
  }

  /** Whether the connection is open and its last response was complete. */
  get isUsable(): boolean {
    return this.#connection.isUsable;
  }

  /** Time of the last complete response on this connection (`performance.now`); 0 if there is none. */
  get lastResponseAt(): number {
    return this.#connection.lastResponseAt;
  }

  /** Whether a request with this identifier was already sent on this connection. */
  hasCarried(requestId: string): boolean {
    return this.#connection.hasCarried(requestId);
  }

  /** Waits until bytes that have already arrived are noticed. @returns whether the connection is still usable. */
  remainsUsable(): Promise<boolean> {
    return this.#connection.remainsUsable();
  }

  /** Sends one request. The connection is unusable afterwards unless the response was complete. */
  async send(request: ServerRequest): Promise<AttemptResult> {
    const result = await this.#connection.send({
      requestId: request.requestId,
      method: request.method,
      path: request.target,
      headers: request.headers,
      body: request.body,
      maxResponseBodyBytes: request.answerLimitBytes,
      timeoutMilliseconds: request.timeoutMilliseconds,
      signal: request.signal,
      disconnectGraceMilliseconds: 0,
      mayStillSend: request.mayStillSend,
    });
    return classify(result);
  }

  /** Checks whether the connection still works. Any response of the server shows that it does. */
  async probe(timeoutMilliseconds: number): Promise<boolean> {
    try {
      await this.#connection.probe(OWNERSHIP_PATH, timeoutMilliseconds);
      return true;
    } catch {
      return false;
    }
  }

  dispose(): void {
    this.#connection.dispose();
  }
}

function classify(result: ExchangeResult): AttemptResult {
  switch (result.kind) {
    case 'not-written':
      return result;
    case 'lost':
      return { kind: 'lost', cause: lossCauseOf(result.reason) };
    case 'received': {
      const { status, headers, body } = result;
      const refusal = parseRefusal(firstHeaderValue(headers, headerNames.refusal));
      return status === REFUSAL_STATUS && refusal !== undefined
        ? { kind: 'refused', refusal }
        : { kind: 'answered', status, headers, body };
    }
  }
}

function lossCauseOf(reason: LossReason): LossCause {
  switch (reason) {
    case 'connection-lost':
    case 'deadline':
    case 'answer-damaged':
    case 'answer-too-large':
      return reason;
    case 'caller-left':
      return 'connection-lost';
  }
}
