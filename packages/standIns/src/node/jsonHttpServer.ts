import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Reads the whole body of a message. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Ends a response with a JSON body. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
}

/** Starts an HTTP server; port 0 selects a free port. @returns the port on which it listens. */
export function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Creates an HTTP server with an asynchronous handler; it responds with status 400 when the handler rejects. */
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

/** Closes a server and all of its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
