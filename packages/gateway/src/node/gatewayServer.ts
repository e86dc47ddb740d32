import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { delay, waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { CallerRequest } from '../common/callerRequest.js';
import type { RequestOutcome } from '../common/requestOutcome.js';
import { writeOutcome } from './outcomeWriter.js';
import { readRequest } from './requestReader.js';

/** The port for callers or for other entry VMs cannot be opened. */
export class GatewayListenError extends HickoryhoistError {
  readonly code = 'gateway-listen';
}

/** Dependencies of a `GatewayServer`. */
export interface GatewayServerOptions {
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly execute: (request: CallerRequest) => Promise<RequestOutcome>;
  /** Handles messages that are not requests of callers. @returns whether the message was handled. */
  readonly intercept?: (message: IncomingMessage, response: ServerResponse) => boolean;
  readonly record: (request: CallerRequest, outcome: RequestOutcome, elapsedMilliseconds: number) => void;
  readonly logger: Logger;
}

/** Time for which a stopping server waits for requests on connections that it has accepted, in milliseconds. */
const UNREAD_REQUEST_MILLISECONDS = 300;
const STOP_POLL_MILLISECONDS = 20;

/** Signal of a non-idempotent request, which runs to its end even if the caller disconnects. */
const NEVER_ABORTS = new AbortController().signal;

/** HTTP server that receives requests and responds with their outcomes. */
export class GatewayServer extends DisposableBase {
  readonly #options: GatewayServerOptions;
  readonly #server: Server;
  #inFlight = 0;
  #isStopping = false;

  constructor(options: GatewayServerOptions) {
    super();
    this.#options = options;
    this.#server = createServer((message, response) => {
      this.#accept(message, response);
    });
    this.register(
      toDisposable(() => {
        this.#server.close();
        this.#server.closeAllConnections();
      }),
    );
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Opens the port. @returns the port number. @throws GatewayListenError */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', (error) => {
        reject(new GatewayListenError(`${host}:${port.toString()}: ${error.message}`, { cause: error }));
      });
      this.#server.listen(port, host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes each connection after its next response, so that callers move to other entry VMs. */
  beginStop(): void {
    this.#isStopping = true;
  }

  /**
   * Stops accepting connections and resolves when no request is in flight. Load pattern: callers go on sending. A
   * request is not cut off if its connection was accepted, although it may be read only after this call.
   */
  async stop(): Promise<void> {
    this.beginStop();
    // Accepts connections that wait for it, and reads requests on connections that count as idle.
    await waitForPendingIo();
    this.#server.close();
    let lastBusyAt = performance.now();
    while (
      performance.now() - lastBusyAt < UNREAD_REQUEST_MILLISECONDS &&
      (await this.#countConnections()) > 0
    ) {
      await delay(STOP_POLL_MILLISECONDS);
      lastBusyAt = this.#inFlight > 0 ? performance.now() : lastBusyAt;
    }
  }

  #countConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((error, count) => {
        if (error !== null) {
          this.#options.logger.log('warn', 'connections-not-counted', { reason: describeError(error) });
        }
        resolve(error === null ? count : 0);
      });
    });
  }

  #accept(message: IncomingMessage, response: ServerResponse): void {
    if (this.#options.intercept?.(message, response) === true) {
      return;
    }
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
    });
    this.#serve(message, response).catch((error: unknown) => {
      this.#options.logger.log('error', 'request-failed', { error: describeError(error) });
      response.destroy();
    });
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = performance.now();
    const disconnection = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        disconnection.abort();
      }
    });
    const result = await readRequest(message, this.#options.configuration(), disconnection.signal);
    switch (result.kind) {
      case 'caller-disconnected':
        return;
      case 'refused':
        response.setHeader('connection', 'close');
        writeOutcome(response, result.requestId, result.outcome);
        return;
      case 'request':
        break;
    }
    const signal = result.request.isIdempotent ? disconnection.signal : NEVER_ABORTS;
    const request = { ...result.request, signal };
    const outcome = await this.#options.execute(request);
    const elapsedMilliseconds = performance.now() - startedAt;
    this.#options.record(request, outcome, elapsedMilliseconds);
    this.#options.logger.log('debug', 'request-ended', {
      request: request.id,
      service: request.service.name,
      outcome: outcome.kind,
      reason: outcome.kind === 'answered' ? undefined : outcome.reason,
      milliseconds: Math.round(elapsedMilliseconds),
    });
    if (this.#isStopping && !response.destroyed) {
      response.setHeader('connection', 'close');
    }
    writeOutcome(response, request.id, outcome);
  }
}
