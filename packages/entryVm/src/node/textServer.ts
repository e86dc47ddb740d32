import { createServer, type Server } from 'node:http';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';

export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** HTTP server for plain-text pages: readiness and metrics. */
export class TextServer extends DisposableBase {
  readonly #server: Server;

  /** @param respond returns the response for a path, or undefined for status 404. */
  constructor(respond: (path: string) => TextResponse | undefined) {
    super();
    this.#server = createServer((message, response) => {
      message.resume();
      const { status, text } = respond(message.url ?? '') ?? { status: 404, text: '' };
      response.writeHead(status, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) });
      response.end(text);
    });
    this.register(
      toDisposable(() => {
        this.#server.close();
        this.#server.closeAllConnections();
      }),
    );
  }

  /** Rejects when the address cannot be bound. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }
}
