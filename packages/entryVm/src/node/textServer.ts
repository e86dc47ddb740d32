import { createServer, type Server } from 'node:http';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';

/** A short answer in plain text. */
export interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

/** Serves short texts over HTTP: readiness and metrics. */
export class TextServer extends DisposableBase {
  readonly #server: Server;

  /** @param answer called with the path; a path without an answer is not found. */
  constructor(answer: (path: string) => TextAnswer | undefined) {
    super();
    this.#server = createServer((message, response) => {
      message.resume();
      const { status, text } = answer(message.url ?? '') ?? { status: 404, text: '' };
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

  /** Opens the port of an address. Rejects when that is not possible. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }
}
