import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Reads a message's body in full. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Writes a JSON answer. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
}

/** Opens an HTTP server. @returns its port. */
export function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Creates an HTTP server whose handler may be asynchronous; a failed handler answers 400. */
export function createHttpServer(
  handle: (message: IncomingMessage, response: ServerResponse) => Promise<void>,
): Server {
  return createServer((message, response) => {
    handle(message, response).catch((error: unknown) => {
      if (!response.headersSent) {
        writeJson(response, 400, { error: String(error) });
      }
    });
  });
}

/** Closes a server together with its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
