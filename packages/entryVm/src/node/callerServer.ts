import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import { hopByHopHeaders } from '@hickoryhoist/base/common/hopByHopHeaders.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { firstHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import type { CallerRequest, RequestOutcome } from '@hickoryhoist/dispatch/common/callerRequest.js';
import type { CallerLimits } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { RouteMatch, RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import type { CallerProtocol } from '../common/callerProtocol.js';
import { CallerWaitEstimator } from '../common/callerWaitEstimator.js';

/** The server could not bind its address. */
export class ListenError extends HickoryhoistError {
  readonly code = 'listen';
}

/** Another entry VM takes the caller's next request at once, in milliseconds. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 20;
/** Hard limit for the headers of a request; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Limit for receiving a whole request, including its body. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
/** Idle timeout of connections until a configuration has been loaded. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;

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
    const { protocol, dispatch, logger } = this.#options;
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
    const body = await readBody(message, routes.configuration.limits.maxBodyBytes);
    // The caller may have closed the connection already, with that event still pending in the event loop.
    await waitForPendingIo();
    if (callerAbort.signal.aborted) {
      logger.log('info', 'caller-disconnected-before-dispatch', { request: id });
      return;
    }
    if (body.kind === 'caller-disconnected') {
      logger.log('info', 'caller-disconnected-while-sending', { request: id });
      return;
    }
    if (body.kind === 'too-large') {
      this.#reject(message, response, 413, 'body-too-large');
      this.#complete(id, match, 413, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    const request = this.#createRequest(message, id, match, body.body, arrivedAt, callerAbort.signal);
    if (this.#hasStoppedAccepting && request.deadlineAt >= this.#responseDeadline) {
      this.#reject(message, response, 503, 'stopping', STOPPING_RETRY_AFTER_MILLISECONDS);
      this.#complete(id, match, 503, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    const outcome = await dispatch(request);
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
    const length = Number(message.headers['content-length'] ?? 0);
    return length > routes.configuration.limits.maxBodyBytes
      ? { status: 413, reason: 'body-too-large' }
      : undefined;
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
    const callerTimeout =
      parsePositiveInteger(firstHeaderValue(message.headers, protocol.timeoutHeader)) ??
      route.timeoutMilliseconds;
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
    const body = Buffer.from(`${reason}\n`);
    const headers: Record<string, string> = { 'content-type': 'text/plain' };
    if (id !== '') {
      headers[this.#options.protocol.requestIdHeader] = id;
    }
    if (retryAfterMilliseconds !== undefined) {
      headers['retry-after'] = (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(3);
    }
    this.#writeResponse(response, status, headers, body);
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

type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'caller-disconnected' };

function readBody(message: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        resolve({ kind: 'too-large' });
      } else {
        chunks.push(chunk);
      }
    });
    message.on('end', () => {
      resolve({ kind: 'read', body: Buffer.concat(chunks) });
    });
    message.on('close', () => {
      resolve({ kind: 'caller-disconnected' });
    });
    message.on('error', () => {
      resolve({ kind: 'caller-disconnected' });
    });
  });
}

function parsePositiveInteger(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) && Number(text) > 0 ? Number(text) : undefined;
}
