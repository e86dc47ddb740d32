import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';

/** One step of a server's reaction to a request. */
export type ServerStep =
  /** Records that the request was run. */
  | { readonly kind: 'run' }
  | { readonly kind: 'send'; readonly text: string }
  /** Repeats a text until the connection is closed. */
  | { readonly kind: 'send-endlessly'; readonly text: string }
  | { readonly kind: 'pause'; readonly milliseconds: number }
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' };

/** A request that arrived at a scripted server. */
export interface ReceivedRequest {
  readonly id: string;
  /** Number of the request among all that arrived at the server, from 0. */
  readonly number: number;
  /** Number of the connection on which it arrived, from 0. */
  readonly connection: number;
  /** Identifiers of the earlier requests on the same connection. */
  readonly earlierIds: readonly string[];
}

export interface ScriptedServerOptions {
  /** Name of the header that carries the request identifier, in lower case. */
  readonly requestIdHeader: string;
  readonly script: (request: ReceivedRequest) => readonly ServerStep[];
  readonly logger: Logger;
}

/** Stand-in for a faulty backend server: sends any bytes at any time, as a script per request states. */
export class ScriptedServer implements Disposable {
  readonly #options: ScriptedServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Identifiers of the requests that were run, in order. */
  readonly executedIds: string[] = [];
  connectionCount = 0;
  #requestCount = 0;

  constructor(options: ScriptedServerOptions) {
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#serve(socket);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port.toString()}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  dispose(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #serve(socket: Socket): void {
    const connection = this.connectionCount;
    this.connectionCount += 1;
    this.#sockets.add(socket);
    const earlierIds: string[] = [];
    let received = '';
    socket.on('error', (error) => {
      this.#options.logger.log('debug', 'connection-failed', { reason: describeError(error) });
    });
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      for (let end = endOfRequest(received); end !== undefined; end = endOfRequest(received)) {
        const id = headerOf(received, this.#options.requestIdHeader);
        received = received.slice(end);
        const request = { id, number: this.#requestCount, connection, earlierIds: [...earlierIds] };
        this.#requestCount += 1;
        earlierIds.push(id);
        void this.#play(socket, id, this.#options.script(request));
      }
    });
  }

  async #play(socket: Socket, id: string, steps: readonly ServerStep[]): Promise<void> {
    for (const step of steps) {
      switch (step.kind) {
        case 'run':
          this.executedIds.push(id);
          break;
        case 'send':
          await write(socket, step.text);
          break;
        case 'send-endlessly':
          while (await write(socket, step.text)) {
            // The caller of this server is expected to close the connection.
          }
          break;
        case 'pause':
          await delay(step.milliseconds);
          break;
        case 'end':
          socket.end();
          break;
        case 'reset':
          socket.resetAndDestroy();
          break;
      }
    }
  }
}

/** @returns whether the connection is still open. */
function write(socket: Socket, text: string): Promise<boolean> {
  return new Promise((resolve) => {
    if (socket.destroyed || socket.writableEnded) {
      resolve(false);
      return;
    }
    const onClose = (): void => {
      resolve(false);
    };
    socket.once('close', onClose);
    socket.write(text, 'latin1', () => {
      socket.off('close', onClose);
      resolve(!socket.destroyed);
    });
  });
}

/** Length of the first request in a text; undefined while it is incomplete. */
function endOfRequest(text: string): number | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd === -1) {
    return undefined;
  }
  const end = headEnd + 4 + Number(headerOf(text.slice(0, headEnd + 2), 'content-length') || '0');
  return text.length >= end ? end : undefined;
}

function headerOf(head: string, name: string): string {
  return new RegExp(`^${name}: *(\\S*)`, 'im').exec(head)?.[1] ?? '';
}
