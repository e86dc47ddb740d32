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
const COLD_FACTOR = 10;

/** Stand-in for a server that owns keys: it checks ownership, counts every execution and shows faults. */
export class ServerStandIn implements Disposable {
  readonly #server: Server;
  readonly #holder: OwnershipHolder;
  readonly #executions: Execution[] = [];
  readonly #startedAt = performance.now();
  readonly #waitingForSlot: (() => void)[] = [];
  #behaviour: ServerBehaviour;
  #busySlots = 0;
  #onThaw: (() => void)[] = [];

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
      this.#onThaw.splice(0).forEach((resume) => {
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
    await this.#thawed();
    if (message.url === OWNERSHIP_PATH) {
      this.#answerOrder(body, response);
      return;
    }
    await this.#serve(message, body, response);
  }

  #answerOrder(body: Buffer, response: ServerResponse): void {
    if (!this.#behaviour.checksFences || body.length === 0) {
      writeJson(response, 404, {});
      return;
    }
    const order = parseDocument('order', ownershipCommandSchema, body.toString('utf8'));
    writeJson(response, 200, this.#holder.handle(order));
  }

  async #serve(message: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const keyHash = textOf(message.headers[headerNames.keyHash]);
    const tracking = this.#holder.track(keyHash);
    try {
      if (!(await this.#takeSlot())) {
        refuse(response, 'shed');
        return;
      }
      try {
        await this.#run(message, keyHash, body, response);
      } finally {
        this.#freeSlot();
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
    await delay(this.#behaviour.serviceMilliseconds * (isCold ? COLD_FACTOR : 1));
    await this.#thawed();
    if (keyHash !== '' && this.#behaviour.checksFences && !this.#holder.owns(keyHash)) {
      refuse(response, 'not-owner');
      return;
    }
    const { crashText } = this.#behaviour;
    if (crashText !== '' && body.includes(crashText)) {
      process.exit(CRASH_EXIT_CODE);
    }
    const requestId = textOf(message.headers[headerNames.requestId]);
    this.#executions.push({
      requestId,
      idempotencyKey: textOf(message.headers[headerNames.idempotencyKey]),
      method: message.method ?? '',
      target: message.url ?? '',
      keyHash,
      bodyBytes: body.length,
    });
    this.#answer(requestId, message, body, response);
  }

  #answer(requestId: string, message: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const answer = JSON.stringify({
      method: message.method,
      target: message.url,
      bodyBytes: body.length,
      requestId,
    });
    response.setHeader('content-type', 'application/json');
    response.setHeader(headerNames.requestId, this.#spend('crossedAnswers') ? randomUUID() : requestId);
    if (this.#spend('lostAnswers')) {
      response.destroy();
      return;
    }
    response.setHeader('content-length', Buffer.byteLength(answer));
    if (this.#spend('truncatedAnswers')) {
      response.write(answer.slice(0, answer.length / 2), () => response.destroy());
      return;
    }
    response.end(answer);
  }

  #spend(fault: 'crossedAnswers' | 'lostAnswers' | 'truncatedAnswers'): boolean {
    const remaining = this.#behaviour[fault];
    if (remaining === 0) {
      return false;
    }
    this.#behaviour = { ...this.#behaviour, [fault]: remaining - 1 };
    return true;
  }

  async #takeSlot(): Promise<boolean> {
    if (this.#busySlots < this.#behaviour.slots) {
      this.#busySlots += 1;
      return true;
    }
    if (this.#waitingForSlot.length >= this.#behaviour.queueLength) {
      return false;
    }
    await new Promise<void>((resolve) => this.#waitingForSlot.push(resolve));
    return true;
  }

  #freeSlot(): void {
    const next = this.#waitingForSlot.shift();
    if (next === undefined) {
      this.#busySlots -= 1;
    } else {
      next();
    }
  }

  async #thawed(): Promise<void> {
    if (this.#behaviour.isFrozen) {
      await new Promise<void>((resolve) => this.#onThaw.push(resolve));
    }
  }
}

function refuse(response: ServerResponse, refusal: ServerRefusal): void {
  response.setHeader(headerNames.refusal, refusal);
  writeJson(response, REFUSAL_STATUS, { refusal });
}

function textOf(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : (value?.[0] ?? '');
}
