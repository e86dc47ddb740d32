import type { Dispatcher } from 'undici';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { IncompleteResponse, ResponseMemory } from '../common/responseMemory.js';

/** Minimum size of the second and each further block of a body, in bytes. */
const BLOCK_BYTES = 16_384;

/** Headers of a response, with names in lower case. */
export type ReceivedHeaders = Record<string, string | string[]>;

/** Why a written request has no usable response. */
export type LossReason =
  | 'connection-lost'
  | 'deadline'
  /** The response is truncated, malformed, or not to this request. */
  | 'answer-damaged'
  | 'answer-too-large'
  | 'caller-left';

/** The error with which this side ends an exchange. */
export class ExchangeEndedError extends HickoryhoistError {
  readonly code = 'exchange-ended';
  readonly reason: LossReason;

  constructor(reason: LossReason) {
    super(reason);
    this.reason = reason;
  }
}

/** A request in flight and what has been received in response. */
export class Exchange implements IncompleteResponse {
  readonly #memory: ResponseMemory;
  readonly #controller: Dispatcher.DispatchController;
  /** The body, in blocks of which the last may have free space. */
  #blocks: Buffer[] = [];
  #freeBytes = 0;
  #bufferedBytes = 0;
  #bodyBytes = 0;
  /** All bytes received so far. */
  rawBytes = 0;
  status = 0;
  headers: ReceivedHeaders = {};

  constructor(controller: Dispatcher.DispatchController, memory: ResponseMemory) {
    this.#controller = controller;
    this.#memory = memory;
  }

  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  get body(): Buffer {
    return Buffer.concat(this.#blocks, this.#bodyBytes);
  }

  /** Copies the chunk: it is a slice that would keep the whole buffer of its read alive. */
  append(chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    let copiedBytes = 0;
    const last = this.#blocks.at(-1);
    if (last !== undefined && this.#freeBytes > 0) {
      copiedBytes = chunk.copy(last, last.length - this.#freeBytes);
      this.#freeBytes -= copiedBytes;
    }
    const remainingBytes = chunk.length - copiedBytes;
    if (remainingBytes === 0) {
      return;
    }
    const block = Buffer.allocUnsafe(
      last === undefined ? remainingBytes : Math.max(remainingBytes, BLOCK_BYTES),
    );
    chunk.copy(block, 0, copiedBytes);
    this.#blocks.push(block);
    this.#freeBytes = block.length - remainingBytes;
    this.#bufferedBytes += block.length;
    this.#memory.add(this, block.length);
  }

  discard(): void {
    this.#blocks = [];
    this.#freeBytes = 0;
    this.abort('answer-too-large');
  }

  abort(reason: LossReason): void {
    this.#controller.abort(new ExchangeEndedError(reason));
  }

  end(): void {
    this.#memory.release(this);
  }
}
