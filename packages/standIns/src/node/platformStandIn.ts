import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import * as z from 'zod';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { validateDocument } from '@hickoryhoist/base/common/checkedJson.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import {
  objectGetSchema,
  objectPutSchema,
  tableReadSchema,
  transactSchema,
  virtualMachineSchema,
} from '@hickoryhoist/store/common/platformMessages.js';
import { closeServer, createHttpServer, listen, readBody, writeJson } from './jsonHttpServer.js';

const faultsSchema = z.strictObject({
  /** Every call fails with a closed connection. */
  isDown: z.boolean().default(false),
  delayMilliseconds: z.number().int().min(0).default(0),
  /** Number of next transactions that are applied, but whose response is lost. */
  lostAnswers: z.number().int().min(0).default(0),
});

/** Faults that the stand-in injects. */
export type PlatformFaults = z.output<typeof faultsSchema>;

/** Stand-in for the platform's table service, object store and VM list, with its state in memory. */
export class PlatformStandIn implements Disposable {
  readonly platform = new MemoryPlatform();
  readonly #server: Server;
  #faults: PlatformFaults = faultsSchema.parse({});
  #calls = 0;

  constructor() {
    this.#server = createHttpServer((message, response) => this.#handle(message, response));
  }

  /** Number of calls so far, including failed calls and excluding control calls. */
  get calls(): number {
    return this.#calls;
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = faultsSchema.parse(faults);
  }

  dispose(): void {
    closeServer(this.#server);
  }

  async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body: unknown = JSON.parse((await readBody(message)).toString('utf8') || '{}');
    const path = message.url ?? '';
    if (path === '/control/faults') {
      this.setFaults(validateDocument('faults', faultsSchema, body));
      writeJson(response, 200, {});
      return;
    }
    if (path === '/control/machines') {
      this.platform.virtualMachines.set(validateDocument('machine', virtualMachineSchema, body));
      writeJson(response, 200, {});
      return;
    }
    this.#calls += 1;
    await delay(this.#faults.delayMilliseconds);
    if (this.#faults.isDown) {
      response.destroy();
      return;
    }
    const result = await this.#execute(path, body);
    if (this.#consumeLostAnswer(path)) {
      response.destroy();
      return;
    }
    writeJson(response, result === undefined ? 404 : 200, result ?? {});
  }

  async #execute(path: string, body: unknown): Promise<unknown> {
    const { table, objects, virtualMachines } = this.platform;
    switch (path) {
      case '/table/read':
        return table.read(validateDocument(path, tableReadSchema, body).key);
      case '/table/transact':
        return table.transact(validateDocument(path, transactSchema, body).operations);
      case '/objects/put': {
        const { name, content } = validateDocument(path, objectPutSchema, body);
        await objects.put(name, content);
        return {};
      }
      case '/objects/get':
        return { content: await objects.get(validateDocument(path, objectGetSchema, body).name) };
      case '/machines/list':
        return { machines: await virtualMachines.list() };
      default:
        return undefined;
    }
  }

  #consumeLostAnswer(path: string): boolean {
    if (path !== '/table/transact' || this.#faults.lostAnswers === 0) {
      return false;
    }
    this.#faults = { ...this.#faults, lostAnswers: this.#faults.lostAnswers - 1 };
    return true;
  }
}
