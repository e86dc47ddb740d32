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

/** A port could not be opened. */
export class ListenError extends HickoryhoistError {
  readonly code = 'listen';
}

/** Largest request head that is read, in bytes; the configuration's limit is lower. */
const LARGEST_HEAD_BYTES = 65_536;
/** Time for reading a request's body, in milliseconds. */
const BODY_MILLISECONDS = 30_000;
/** Time for which idle connections stay open before a configuration says, in milliseconds. */
const FIRST_IDLE_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** How a request ended, for metrics and logs. */
export interface EndedRequest {
  readonly id: string;
  readonly match: RouteMatch | undefined;
  readonly status: number;
  readonly outcome: RequestOutcome | undefined;
  readonly key: number | undefined;
  readonly milliseconds: number;
  readonly goalMilliseconds: number;
  readonly revision: number;
}

/** What the callers' port needs from its surroundings. */
export interface CallerServerOptions {
  readonly dialect: CallerProtocol;
  readonly routes: () => RouteTable | undefined;
  readonly dispatch: (request: CallerRequest) => Promise<RequestOutcome>;
  readonly onDidEnd: (ended: EndedRequest) => void;
  readonly logger: Logger;
}

/** HTTP port that takes requests in and tells their outcomes. */
export class CallerServer extends DisposableBase {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  /** Longest time that callers of a route have said they would wait: what a first attempt says. */
  readonly #longestTimeouts = new Map<string, number>();
  #inFlight = 0;
  /** Time by which every request has its answer; infinite unless a stop has begun. */
  #answersBy = Number.POSITIVE_INFINITY;

  constructor(options: CallerServerOptions) {
    super();
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: LARGEST_HEAD_BYTES,
        keepAliveTimeout: FIRST_IDLE_MILLISECONDS,
        requestTimeout: BODY_MILLISECONDS,
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

  /** Requests that were read and are not answered yet. */
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
   * From now on every answer asks its caller to use another connection, and no request is given longer than the
   * process has: one that cannot be run by then is refused while that is still true.
   * @param answersBy time by which every request has its answer, on the steady clock in milliseconds.
   */
  beginStop(answersBy: number): void {
    this.#answersBy = answersBy;
  }

  /** Takes no more connections and closes the idle ones, so that what is in flight is the last. */
  endIntake(): void {
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
    const { dialect, dispatch, logger } = this.#options;
    const id = firstHeaderValue(message.headers, dialect.requestIdHeader) ?? '';
    const routes = this.#options.routes();
    const caller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        caller.abort();
      }
    });
    const match = routes?.match(message.headers.host ?? '', message.url ?? '');
    const refusal = this.#refusalOnSight(message, routes, match);
    if (refusal !== undefined) {
      this.#refuse(message, response, refusal.status, refusal.reason, refusal.retryAfterMilliseconds);
      this.#end(id, match, refusal.status, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    if (match === undefined || routes === undefined) {
      return;
    }
    const body = await readBody(message, routes.configuration.limits.maxBodyBytes);
    // One turn of the loop may read the request but not the end of its connection, which waits as well.
    await waitForPendingIo();
    if (caller.signal.aborted) {
      logger.log('info', 'caller-left-before-dispatch', { request: id });
      return;
    }
    if (body.kind === 'caller-gone') {
      logger.log('info', 'caller-left-while-sending', { request: id });
      return;
    }
    if (body.kind === 'too-large') {
      this.#refuse(message, response, 413, 'body-too-large');
      this.#end(id, match, 413, undefined, undefined, arrivedAt, Number.POSITIVE_INFINITY);
      return;
    }
    const request = this.#request(message, id, match, body.body, arrivedAt, caller.signal);
    const outcome = await dispatch(request);
    const status = this.#answer(response, request, outcome);
    this.#end(id, match, status, outcome, request.key, arrivedAt, request.goalAt - arrivedAt);
  }

  #refusalOnSight(
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

  #request(
    message: IncomingMessage,
    id: string,
    { route, service }: RouteMatch,
    body: Buffer,
    arrivedAt: number,
    signal: AbortSignal,
  ): CallerRequest {
    const { dialect } = this.#options;
    const patience =
      positiveInteger(firstHeaderValue(message.headers, dialect.timeoutHeader)) ?? route.timeoutMilliseconds;
    const longest = Math.max(patience, this.#longestTimeouts.get(route.name) ?? 0);
    this.#longestTimeouts.set(route.name, longest);
    const keyText = firstHeaderValue(message.headers, dialect.keyHeader);
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
      // A caller that came back has waited before; its goal counts from its first attempt.
      goalAt: arrivedAt + route.goalMilliseconds - (longest - patience),
      deadlineAt: Math.min(arrivedAt + Math.min(patience, route.timeoutMilliseconds), this.#answersBy),
      signal,
    };
  }

  #forwardedHeaders(message: IncomingMessage): Record<string, string | string[] | undefined> {
    const headers: Record<string, string | string[] | undefined> = {};
    const named = new Set((message.headers.connection ?? '').toLowerCase().split(/\s*,\s*/));
    for (const [name, value] of Object.entries(message.headers)) {
      if (
        !hopByHopHeaders.has(name) &&
        !named.has(name) &&
        !this.#options.dialect.strippedHeaders.includes(name)
      ) {
        headers[name] = value;
      }
    }
    return headers;
  }

  #answer(response: ServerResponse, request: CallerRequest, outcome: RequestOutcome): number {
    switch (outcome.kind) {
      case 'answered': {
        const headers: Record<string, string | string[]> = {};
        for (const [name, value] of Object.entries(outcome.headers)) {
          if (!hopByHopHeaders.has(name)) {
            headers[name] = value;
          }
        }
        this.#write(response, outcome.status, headers, outcome.body);
        return outcome.status;
      }
      case 'not-run':
        this.#writeRefusal(response, request.id, 503, outcome.reason, outcome.retryAfterMilliseconds);
        return 503;
      case 'unknown': {
        const status = outcome.reason === 'deadline' ? 504 : 502;
        this.#writeRefusal(response, request.id, status, outcome.reason);
        return status;
      }
    }
  }

  /** Answers before the body was read; the connection cannot be used again then. */
  #refuse(
    message: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const id = firstHeaderValue(message.headers, this.#options.dialect.requestIdHeader) ?? '';
    message.resume();
    this.#writeRefusal(response, id, status, reason, retryAfterMilliseconds);
  }

  #writeRefusal(
    response: ServerResponse,
    id: string,
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const body = Buffer.from(`${reason}\n`);
    const headers: Record<string, string> = { 'content-type': 'text/plain' };
    if (id !== '') {
      headers[this.#options.dialect.requestIdHeader] = id;
    }
    if (retryAfterMilliseconds !== undefined) {
      headers['retry-after'] = (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(3);
    }
    this.#write(response, status, headers, body);
  }

  #write(
    response: ServerResponse,
    status: number,
    headers: Record<string, string | string[]>,
    body: Buffer,
  ): void {
    if (response.destroyed) {
      return;
    }
    response.writeHead(status, {
      ...headers,
      'content-length': body.length,
      ...(Number.isFinite(this.#answersBy) ? { connection: 'close' } : {}),
    });
    response.end(body);
  }

  #end(
    id: string,
    match: RouteMatch | undefined,
    status: number,
    outcome: RequestOutcome | undefined,
    key: number | undefined,
    arrivedAt: number,
    goalMilliseconds: number,
  ): void {
    this.#options.onDidEnd({
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
  | { readonly kind: 'caller-gone' };

function readBody(message: IncomingMessage, limitBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        resolve({ kind: 'too-large' });
      } else {
        chunks.push(chunk);
      }
    });
    message.on('end', () => {
      resolve({ kind: 'read', body: Buffer.concat(chunks) });
    });
    message.on('close', () => {
      resolve({ kind: 'caller-gone' });
    });
    message.on('error', () => {
      resolve({ kind: 'caller-gone' });
    });
  });
}

function positiveInteger(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) && Number(text) > 0 ? Number(text) : undefined;
}
