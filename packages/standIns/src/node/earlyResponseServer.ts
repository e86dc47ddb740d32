import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';

/** How a server treats the rest of an upload that it has answered early. */
export interface EarlyEnding {
  readonly kind:
    /** It reads on, and resets the connection. */
    | 'reads-on'
    /** It reads no further, and resets the connection. */
    | 'stops-reading'
    /** It reads no further, and closes the connection, which resets it. */
    | 'closes-with-unread-bytes';
  /** Time from the early response to the end of the connection, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/** Stand-in for a faulty backend server: responds as soon as it has read the head of a request, and resets the connection. */
export class EarlyResponseServer implements Disposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  /** @param respond the response to a request with this head. */
  constructor(respond: (head: string) => string, ending: EarlyEnding) {
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#sockets.add(socket);
      // The other side may reset the connection first.
      socket.on('error', () => undefined);
      let received = '';
      const onData = (chunk: Buffer): void => {
        received += chunk.toString('latin1');
        const headEnd = received.indexOf('\r\n\r\n');
        if (headEnd !== -1) {
          socket.off('data', onData);
          void endEarly(socket, respond(received.slice(0, headEnd)), ending);
        }
      };
      socket.on('data', onData);
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
}

async function endEarly(
  socket: Socket,
  response: string,
  { kind, pauseMilliseconds }: EarlyEnding,
): Promise<void> {
  if (kind === 'reads-on') {
    socket.resume();
  } else {
    socket.pause();
  }
  await new Promise<void>((resolve) => {
    socket.write(response, 'latin1', () => {
      resolve();
    });
  });
  if (pauseMilliseconds > 0) {
    await delay(pauseMilliseconds);
  }
  switch (kind) {
    case 'reads-on':
    case 'stops-reading':
      socket.resetAndDestroy();
      return;
    case 'closes-with-unread-bytes':
      socket.destroy();
  }
}
