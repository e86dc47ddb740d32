import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { validateDocument, parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { OwnershipHolder } from '@hickoryhoist/ownership/common/ownershipHolder.js';
import {
  headerNames,
  REFUSAL_STATUS,
  type ServerRefusal,
} from '@hickoryhoist/protocol/common/requestHeaders.js';
import { OWNERSHIP_PATH, ownershipCommandSchema } from '@hickoryhoist/protocol/common/serverMessages.js';
import { type Execution, type ServerBehaviour, serverBehaviourSchema } from '../common/serverBehaviour.js';
import { closeServer, createHttpServer, listen, readBody, writeJson } from './jsonHttpServer.js';

const CRASH_EXIT_CODE = 70;
const COLD_START_FACTOR = 10;

/** Stand-in for a backend server that checks key ownership, records executions and injects faults. */
export class ServerStandIn implements Disposable {
  readonly #server: Server;
  readonly #holder: OwnershipHolder;
  readonly #executions: Execution[] = [];
  readonly #startedAt = performance.now();
  readonly #slotWaiters: (() => void)[] = [];
  #behaviour: ServerBehaviour;
  #busySlots = 0;
  #frozenWaiters: (() => void)[] = [];

  constructor(behaviour: Partial<ServerBehaviour> = {}) {
    this.#behaviour = serverBehaviourSchema.parse(behaviour);
    this.#holder = new OwnershipHolder({ incarnation: randomUUID(), now: () => performance.now() });
    this.#server = createHttpServer((message, response) => this.#handle(message, response));
    this.#server.keepAliveTimeout = 0;
  }

  get executions(): readonly Execution[] {
    return this.#executions;
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  setBehaviour(change: Partial<ServerBehaviour>): void {
    this.#behaviour = { ...this.#behaviour, ...change };
    if (this.#behaviour.isLeaving) {
      this.#holder.leave();
    }
    if (!this.#behaviour.isFrozen) {
      this.#frozenWaiters.splice(0).forEach((resume) => {
        resume();
      });
    }
  }

  dispose(): void {
    closeServer(this.#server);
  }

  async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(message);
    if (message.url === '/control/behaviour') {
      const change = JSON.parse(body.toString('utf8')) as Partial<ServerBehaviour>;
      this.setBehaviour(
        validateDocument('behaviour', serverBehaviourSchema.partial(), change) as Partial<ServerBehaviour>,
      );
      writeJson(response, 200, {});
      return;
    }
    if (message.url === '/control/executions') {
      writeJson(response, 200, this.#executions);
      return;
    }
    await this.#waitWhileFrozen();
    if (message.url === OWNERSHIP_PATH) {
      this.#handleOwnershipCommand(body, response);
      return;
    }
    await this.#serve(message, body, response);
  }

  #handleOwnershipCommand(body: Buffer, response: ServerResponse): void {
    if (!this.#behaviour.checksFences || body.length === 0) {
      writeJson(response, 404, {});
      return;
    }
    const command = parseDocument('ownership command', ownershipCommandSchema, body.toString('utf8'));
    writeJson(response, 200, this.#holder.handle(command));
  }

  async #serve(message: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const keyHash = headerValue(message.headers[headerNames.keyHash]);
    const tracking = this.#holder.track(keyHash);
    try {
      if (!(await this.#acquireSlot())) {
        refuse(message, response, 'shed');
        return;
      }
      try {
        await this.#run(message, keyHash, body, response);
      } finally {
        this.#releaseSlot();
      }
    } finally {
      tracking.dispose();
    }
  }

  async #run(
    message: IncomingMessage,
    keyHash: string,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const isCold = performance.now() - this.#startedAt < this.#behaviour.coldStartMilliseconds;
    await delay(this.#behaviour.serviceMilliseconds * (isCold ? COLD_START_FACTOR : 1));
    await this.#waitWhileFrozen();
    if (keyHash !== '' && this.#behaviour.checksFences && !this.#holder.owns(keyHash)) {
      refuse(message, response, 'not-owner');
      return;
    }
    const { crashText } = this.#behaviour;
    if (crashText !== '' && body.includes(crashText)) {
      process.exit(CRASH_EXIT_CODE);
    }
    const requestId = headerValue(message.headers[headerNames.requestId]);
    this.#executions.push({
      requestId,
      idempotencyKey: headerValue(message.headers[headerNames.idempotencyKey]),
      method: message.method ?? '',
      target: message.url ?? '',
      keyHash,
      bodyBytes: body.length,
    });
    this.#respond(requestId, message, body, response);
  }

  #respond(requestId: string, message: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const text = JSON.stringify({
      method: message.method,
      target: message.url,
      bodyBytes: body.length,
      requestId,
    });
    response.setHeader('content-type', 'application/json');
    response.setHeader(
      headerNames.requestId,
      this.#consumeFault('crossedAnswers') ? randomUUID() : requestId,
    );
    if (this.#consumeFault('lostAnswers')) {
      response.destroy();
      return;
    }
    response.setHeader('content-length', Buffer.byteLength(text));
    if (this.#consumeFault('truncatedAnswers')) {
      response.write(text.slice(0, text.length / 2), () => response.destroy());
      return;
    }
    response.end(text);
  }

  #consumeFault(fault: 'crossedAnswers' | 'lostAnswers' | 'truncatedAnswers'): boolean {
    const remaining = this.#behaviour[fault];
    if (remaining === 0) {
      return false;
    }
    this.#behaviour = { ...this.#behaviour, [fault]: remaining - 1 };
    return true;
  }

  async #acquireSlot(): Promise<boolean> {
    if (this.#busySlots < this.#behaviour.slots) {
      this.#busySlots += 1;
      return true;
    }
    if (this.#slotWaiters.length >= this.#behaviour.queueLength) {
      return false;
    }
    await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
    return true;
  }

  #releaseSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next === undefined) {
      this.#busySlots -= 1;
    } else {
      next();
    }
  }

  async #waitWhileFrozen(): Promise<void> {
    if (this.#behaviour.isFrozen) {
      await new Promise<void>((resolve) => this.#frozenWaiters.push(resolve));
    }
  }
}

function refuse(message: IncomingMessage, response: ServerResponse, refusal: ServerRefusal): void {
  response.setHeader(headerNames.requestId, headerValue(message.headers[headerNames.requestId]));
  response.setHeader(headerNames.refusal, refusal);
  writeJson(response, REFUSAL_STATUS, { refusal });
}

function headerValue(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : (value?.[0] ?? '');
}
