import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import { hopByHopHeaders } from '@hickoryhoist/base/common/hopByHopHeaders.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { firstHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import type { MemoryBudget, MemoryReservation } from '@hickoryhoist/connection/common/memoryBudget.js';
import type { CallerRequest, RequestOutcome } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { type CallerLimits, MAX_HEADER_BYTES } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { RouteMatch, RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import type { CallerProtocol } from '../common/callerProtocol.js';
import { CallerWaitEstimator } from '../common/callerWaitEstimator.js';
import { type BodyResult, readRequestBody } from './requestBody.js';

/** The server could not bind its address. */
export class ListenError extends HickoryhoistError {
  readonly code = 'listen';
}

/** Another entry VM takes the caller's next request at once, in milliseconds. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 20;
/** Hard limit for the headers of a request; the configured limit is lower. */
/** Limit for receiving a whole request, including its body. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
/** Idle timeout of connections until a configuration has been loaded. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which a caller is disconnected that takes nothing of its response, in milliseconds. */
const STALLED_READER_MILLISECONDS = 10_000;
/** Delay before a request whose body does not fit into memory is worth another try, in milliseconds. */
const NO_MEMORY_RETRY_AFTER_MILLISECONDS = 500;
/** Time for which the rest of a refused body is discarded before its connection is closed, in milliseconds. */
const DISCARD_MILLISECONDS = 2_000;

/** Result of a request, for metrics and logs. */
export interface CompletedRequest {
  readonly id: string;
  readonly match: RouteMatch | undefined;
  readonly status: number;
  readonly outcome: RequestOutcome | undefined;
  readonly key: number | undefined;
  readonly milliseconds: number;
  readonly goalMilliseconds: number;
  readonly revision: number;
}

export interface CallerServerOptions {
  readonly protocol: CallerProtocol;
  readonly routes: () => RouteTable | undefined;
  readonly dispatch: (request: CallerRequest) => Promise<RequestOutcome>;
  readonly onDidComplete: (completed: CompletedRequest) => void;
  /** Bounds the bodies of requests and responses that are held. */
  readonly memory: MemoryBudget;
  /** Time after which a caller is disconnected that takes nothing of its response, in milliseconds; 10 s by default. */
  readonly stalledReaderMilliseconds?: number;
  readonly logger: Logger;
}

/** HTTP server that receives the requests of callers, dispatches them and writes the responses. */
export class CallerServer extends DisposableBase {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #callerWaits = new CallerWaitEstimator();
  #inFlight = 0;
  #hasStoppedAccepting = false;
  /** Time by which every request must be answered; infinite until shutdown begins. */
  #responseDeadline = Number.POSITIVE_INFINITY;

  constructor(options: CallerServerOptions) {
    super();
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        noDelay: true,
      },
      (message, response) => {
        this.#accept(message, response);
      },
    );
    this.register(
      toDisposable(() => {
        this.#server.close();
        this.#server.closeAllConnections();
      }),
    );
  }

  /** Requests that have been received and not yet answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** @throws ListenError */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', (error) => {
        reject(new ListenError(`${address}: ${error.message}`, { cause: error }));
      });
      this.#server.listen(port, host, resolve);
    });
  }

  setLimits(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    this.#server.headersTimeout = Math.max(limits.headerTimeoutMilliseconds, limits.idleTimeoutMilliseconds);
  }

  /**
   * Closes each connection after its next response, and limits the deadline of new requests to the end of the
   * process: a request that cannot run by then is rejected while a rejection can still be sent.
   * @param responseDeadline time on the monotonic clock by which every request must be answered, in milliseconds.
   */
  beginStop(responseDeadline: number): void {
    this.#responseDeadline = responseDeadline;
  }

  /**
   * Stops accepting connections and closes idle ones. From then on a request on an open connection is rejected unless its
   * whole time fits before the end of the process: callers do better elsewhere than with a request that is broken off.
   */
  stopAccepting(): void {
    this.#hasStoppedAccepting = true;
    this.#server.close();
  }

  #accept(message: IncomingMessage, response: ServerResponse): void {
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
    });
    this.#serve(message, response).catch((error: unknown) => {
      this.#options.logger.log('error', 'request-failed', { reason: describeError(error) });
      response.destroy();
    });
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = performance.now();
    const { protocol, logger } = this.#options;
    const id = firstHeaderValue(message.headers, protocol.requestIdHeader) ?? '';
    const routes = this.#options.routes();
    const callerAbort = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        callerAbort.abort();
      }
    });
    const match = routes?.match(message.headers.host ?? '', message.url ?? '');
    const rejection = this.#earlyRejection(message, routes, match);
    if (rejection !== undefined) {
      this.#reject(message, response, rejection.status, rejection.reason, rejection.retryAfterMilliseconds);
      this.#complete(id, match, rejection.status, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    if (match === undefined || routes === undefined) {
      return;
    }
    const body = await this.#readBody(message, match, routes.configuration.limits.maxBodyBytes, arrivedAt);
    // The caller may have closed the connection already, with that event still pending in the event loop.
    await waitForPendingIo();
    if (body.kind === 'caller-disconnected' || callerAbort.signal.aborted) {
      logger.log(
        'info',
        body.kind === 'read' ? 'caller-disconnected-before-dispatch' : 'caller-disconnected-while-sending',
        { request: id },
      );
      disposeBody(body);
      return;
    }
    if (body.kind !== 'read') {
      const status = this.#refuseBody(message, response, id, body);
      this.#complete(id, match, status, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    try {
      await this.#run(message, response, id, match, body, arrivedAt, callerAbort.signal);
    } finally {
      body.memory.dispose();
    }
  }

  async #run(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
    match: RouteMatch,
    { body, memory }: Extract<BodyResult, { kind: 'read' }>,
    arrivedAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const request = this.#createRequest(message, id, match, body, arrivedAt, signal);
    if (this.#hasStoppedAccepting && request.deadlineAt >= this.#responseDeadline) {
      this.#reject(message, response, 503, 'stopping', STOPPING_RETRY_AFTER_MILLISECONDS);
      this.#complete(id, match, 503, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    const outcome = await this.#options.dispatch(request);
    // The body is not sent any more, and must not displace the response.
    memory.dispose();
    const status = this.#respond(response, request, outcome);
    this.#complete(id, match, status, outcome, request.key, arrivedAt, request.goalAt - arrivedAt);
  }

  #earlyRejection(
    message: IncomingMessage,
    routes: RouteTable | undefined,
    match: RouteMatch | undefined,
  ): { status: number; reason: string; retryAfterMilliseconds?: number } | undefined {
    if (routes === undefined) {
      return { status: 503, reason: 'no-configuration', retryAfterMilliseconds: 500 };
    }
    if (match === undefined) {
      return { status: 404, reason: 'unknown-route' };
    }
    return undefined;
  }

  #readBody(
    message: IncomingMessage,
    { route }: RouteMatch,
    maxBytes: number,
    arrivedAt: number,
  ): Promise<BodyResult> {
    const timeoutMilliseconds = Math.min(
      this.#callerTimeout(message) ?? route.timeoutMilliseconds,
      route.timeoutMilliseconds,
    );
    return readRequestBody(
      message,
      { maxBytes, deadlineAt: arrivedAt + timeoutMilliseconds },
      this.#options.memory,
    );
  }

  #callerTimeout(message: IncomingMessage): number | undefined {
    return parsePositiveInteger(firstHeaderValue(message.headers, this.#options.protocol.timeoutHeader));
  }

  /** Refuses a request whose body was not read completely, so that no server has received it. @returns the status. */
  #refuseBody(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
    body: Exclude<BodyResult, { kind: 'read' | 'caller-disconnected' }>,
  ): number {
    switch (body.kind) {
      case 'too-large':
        this.#reject(message, response, 413, 'body-too-large');
        return 413;
      case 'late':
        this.#rejectAndClose(message, response, id, 408, 'body-late');
        return 408;
      case 'no-memory': {
        const { usedBytes, maxBytes } = this.#options.memory;
        this.#options.logger.log('warn', 'request-body-refused', {
          request: id,
          bytes: body.bytes,
          heldBytes: usedBytes,
          maxBytes,
        });
        this.#rejectAndClose(message, response, id, 503, 'memory', NO_MEMORY_RETRY_AFTER_MILLISECONDS);
        return 503;
      }
    }
  }

  /**
   * Rejects a request and closes its connection once the caller has sent the body or had time to read the response:
   * closing a connection with unread bytes resets it, and the response may be lost.
   */
  #rejectAndClose(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    if (response.destroyed) {
      return;
    }
    const { headers, body } = this.#rejection(id, reason, retryAfterMilliseconds);
    response.writeHead(status, { ...headers, 'content-length': body.length, connection: 'close' });
    response.write(body);
    const close = (): void => {
      clearTimeout(timer);
      response.end();
    };
    const timer = setTimeout(close, DISCARD_MILLISECONDS);
    message.once('close', close);
    message.once('end', close);
    message.resume();
  }

  #createRequest(
    message: IncomingMessage,
    id: string,
    { route, service }: RouteMatch,
    body: Buffer,
    arrivedAt: number,
    signal: AbortSignal,
  ): CallerRequest {
    const { protocol } = this.#options;
    const callerTimeout = this.#callerTimeout(message) ?? route.timeoutMilliseconds;
    const waitedMilliseconds = this.#callerWaits.record(route.name, callerTimeout);
    const keyText = firstHeaderValue(message.headers, protocol.keyHeader);
    const key = keyText !== undefined && /^\d{1,5}$/.test(keyText) ? Number(keyText) : undefined;
    return {
      id,
      host: message.headers.host ?? '',
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: this.#forwardedHeaders(message),
      body,
      key,
      route,
      service: service.name,
      isKeyed: service.kind === 'keyed' && key !== undefined,
      arrivedAt,
      // The goal counts from the caller's first attempt.
      goalAt: arrivedAt + route.goalMilliseconds - waitedMilliseconds,
      deadlineAt: Math.min(
        arrivedAt + Math.min(callerTimeout, route.timeoutMilliseconds),
        this.#responseDeadline,
      ),
      signal,
    };
  }

  #forwardedHeaders(message: IncomingMessage): Record<string, string | string[] | undefined> {
    const headers: Record<string, string | string[] | undefined> = {};
    const connectionOptions = new Set((message.headers.connection ?? '').toLowerCase().split(/\s*,\s*/));
    for (const [name, value] of Object.entries(message.headers)) {
      if (
        !hopByHopHeaders.has(name) &&
        !connectionOptions.has(name) &&
        !this.#options.protocol.strippedHeaders.includes(name)
      ) {
        headers[name] = value;
      }
    }
    return headers;
  }

  #respond(response: ServerResponse, request: CallerRequest, outcome: RequestOutcome): number {
    switch (outcome.kind) {
      case 'answered': {
        const headers: Record<string, string | string[]> = {};
        for (const [name, value] of Object.entries(outcome.headers)) {
          if (!hopByHopHeaders.has(name)) {
            headers[name] = value;
          }
        }
        this.#writeResponse(response, outcome.status, headers, outcome.body);
        return outcome.status;
      }
      case 'not-run':
        this.#writeRejection(response, request.id, 503, outcome.reason, outcome.retryAfterMilliseconds);
        return 503;
      case 'unknown': {
        const status = outcome.reason === 'deadline' ? 504 : 502;
        this.#writeRejection(response, request.id, status, outcome.reason);
        return status;
      }
    }
  }

  /** Rejects a request whose body may not have been read, and discards the rest of the body. */
  #reject(
    message: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const id = firstHeaderValue(message.headers, this.#options.protocol.requestIdHeader) ?? '';
    message.resume();
    this.#writeRejection(response, id, status, reason, retryAfterMilliseconds);
  }

  #writeRejection(
    response: ServerResponse,
    id: string,
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const { headers, body } = this.#rejection(id, reason, retryAfterMilliseconds);
    this.#writeResponse(response, status, headers, body);
  }

  #rejection(
    id: string,
    reason: string,
    retryAfterMilliseconds?: number,
  ): { readonly headers: Record<string, string>; readonly body: Buffer } {
    const headers: Record<string, string> = { 'content-type': 'text/plain' };
    if (id !== '') {
      headers[this.#options.protocol.requestIdHeader] = id;
    }
    if (retryAfterMilliseconds !== undefined) {
      headers['retry-after'] = (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(3);
    }
    return { headers, body: Buffer.from(`${reason}\n`) };
  }

  #writeResponse(
    response: ServerResponse,
    status: number,
    headers: Record<string, string | string[]>,
    body: Buffer,
  ): void {
    if (response.destroyed) {
      this.#options.logger.log('info', 'response-not-delivered', {
        request: firstHeaderValue(response.req.headers, this.#options.protocol.requestIdHeader),
        status,
      });
      return;
    }
    response.writeHead(status, {
      ...headers,
      'content-length': body.length,
      ...(Number.isFinite(this.#responseDeadline) ? { connection: 'close' } : {}),
    });
    response.end(body);
    if (response.writableLength > 0) {
      this.#holdResponse(response, body.length);
    }
  }

  /** Counts the body of a response that the caller has not taken yet. */
  #holdResponse(response: ServerResponse, bytes: number): void {
    const memory: MemoryReservation = this.#options.memory.hold(bytes, () => {
      this.#options.logger.log('warn', 'slow-reader-disconnected', {
        request: firstHeaderValue(response.req.headers, this.#options.protocol.requestIdHeader),
        bytes,
      });
      response.destroy();
    });
    response.setTimeout(this.#options.stalledReaderMilliseconds ?? STALLED_READER_MILLISECONDS, () => {
      this.#options.logger.log('warn', 'stalled-reader-disconnected', {
        request: firstHeaderValue(response.req.headers, this.#options.protocol.requestIdHeader),
        bytes,
      });
      response.destroy();
    });
    response.once('close', () => {
      memory.dispose();
    });
  }

  #complete(
    id: string,
    match: RouteMatch | undefined,
    status: number,
    outcome: RequestOutcome | undefined,
    key: number | undefined,
    arrivedAt: number,
    goalMilliseconds: number,
  ): void {
    this.#options.onDidComplete({
      id,
      match,
      status,
      outcome,
      key,
      milliseconds: performance.now() - arrivedAt,
      goalMilliseconds,
      revision: this.#options.routes()?.configuration.revision ?? 0,
    });
  }
}

function parsePositiveInteger(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) && Number(text) > 0 ? Number(text) : undefined;
}

function disposeBody(body: BodyResult): void {
  if (body.kind === 'read') {
    body.memory.dispose();
  }
}
