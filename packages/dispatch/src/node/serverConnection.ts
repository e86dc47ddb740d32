import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import type { ResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import type { ResponseMemory } from '@hickoryhoist/connection/common/responseMemory.js';
import { type ExchangeResult, HttpConnection } from '@hickoryhoist/connection/node/httpConnection.js';
import type { ServerCall, ServerCallResult, ServerProtocol } from '../common/serverCall.js';

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

/** A connection to a server that carries one request at a time. */
export class ServerConnection implements Disposable {
  readonly #connection: HttpConnection;
  readonly #protocol: ServerProtocol;
  readonly #maxBodyBytes: number;

  constructor(address: string, protocol: ServerProtocol, limits: ResponseLimits, memory: ResponseMemory) {
    this.#protocol = protocol;
    this.#maxBodyBytes = limits.maxBodyBytes;
    this.#connection = new HttpConnection(address, {
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
      maxHeadBytes: limits.maxHeadBytes,
      memory,
      responseRequestId: (headers) => protocol.responseRequestId(headers),
    });
  }

  /** Whether the connection is open and its last response was complete. */
  get isUsable(): boolean {
    return this.#connection.isUsable;
  }

  /** Time of the last complete response on the monotonic clock. */
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

  async send(call: ServerCall): Promise<ServerCallResult> {
    const result = await this.#connection.send({
      requestId: call.requestId,
      method: call.method,
      path: call.target,
      headers: {
        ...definedHeaders(call.headers),
        host: call.host,
        ...this.#protocol.requestHeaders(call),
      },
      body: call.body,
      maxResponseBodyBytes: this.#maxBodyBytes,
      timeoutMilliseconds: call.timeoutMilliseconds + RESPONSE_SLACK_MILLISECONDS,
      signal: call.signal,
      disconnectGraceMilliseconds: DISCONNECT_GRACE_MILLISECONDS,
      mayStillSend: () => true,
    });
    return this.#classify(result);
  }

  dispose(): void {
    this.#connection.dispose();
  }

  #classify(result: ExchangeResult): ServerCallResult {
    switch (result.kind) {
      case 'not-written':
      case 'lost':
        return result;
      case 'received': {
        const { status, headers, body } = result;
        const statements = this.#protocol.statements(status, headers);
        const refusal = this.#protocol.refusal(status, headers);
        if (refusal !== undefined) {
          return { kind: 'refused', refusal, statements };
        }
        if (!this.#protocol.isGenuine(status, headers)) {
          this.dispose();
          return { kind: 'lost', reason: 'answer-damaged', statements };
        }
        return { kind: 'answered', status, headers, body, statements };
      }
    }
  }
}

function definedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined),
  );
}
