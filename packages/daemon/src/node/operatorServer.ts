import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { EntryVmControl } from '@hickoryhoist/ownership/common/entryVmControl.js';
import { formatMetrics } from './metricsPage.js';
import {
  CONFIGURATION_PATH,
  type ConfigurationInForce,
} from '@hickoryhoist/routing/common/configurationInForce.js';
import type { StatusReader } from './statusReader.js';

const confirmLostSchema = z.strictObject({ entryVmId: z.string().min(1), incarnation: z.string().min(1) });

/** HTTP server for operators: `GET /ready`, `GET /status`, `GET /configuration`, `GET /metrics`, `POST /confirm-lost`. */
export class OperatorServer extends DisposableBase {
  readonly #status: StatusReader;
  readonly #control: EntryVmControl;
  readonly #server: Server;

  constructor(status: StatusReader, control: EntryVmControl) {
    super();
    this.#status = status;
    this.#control = control;
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch((error: unknown) => {
        writeJson(response, 400, { error: describeError(error) });
      });
    });
    this.register(
      toDisposable(() => {
        this.#server.close();
        this.#server.closeAllConnections();
      }),
    );
  }

  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const status = this.#status.read();
    switch (`${message.method ?? ''} ${message.url ?? ''}`) {
      case 'GET /ready':
        writeJson(response, status.isReady ? 200 : 503, { isReady: status.isReady });
        return;
      case 'GET /status':
        writeJson(response, 200, status);
        return;
      case `GET ${CONFIGURATION_PATH}`:
        this.#writeConfiguration(response);
        return;
      case 'GET /metrics':
        response.setHeader('content-type', 'text/plain; charset=utf-8');
        response.end(formatMetrics(status));
        return;
      case 'POST /confirm-lost': {
        const request = parseDocument('confirm-lost', confirmLostSchema, await readText(message));
        writeJson(response, 200, this.#control.confirmLost(request));
        return;
      }
      default:
        writeJson(response, 404, {
          error: 'not found; available paths: /ready, /status, /configuration, /metrics, /confirm-lost',
        });
    }
  }

  #writeConfiguration(response: ServerResponse): void {
    const current = this.#control.configuration.current;
    if (current === undefined) {
      writeJson(response, 503, { error: 'no configuration is in force' });
      return;
    }
    const inForce: ConfigurationInForce = { document: JSON.stringify(current.snapshot) };
    writeJson(response, 200, inForce);
  }
}

async function readText(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(`${JSON.stringify(value)}\n`);
}
