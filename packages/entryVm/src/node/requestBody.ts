import type { IncomingMessage } from 'node:http';
import type { MemoryBudget, MemoryReservation } from '@hickoryhoist/connection/common/memoryBudget.js';

/** Limits on the body of one request. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time on the monotonic clock by which the body must be complete, in milliseconds. */
  readonly deadlineAt: number;
}

export type BodyResult =
  /** The body is complete. Its memory is reserved until the reservation is disposed. */
  | { readonly kind: 'read'; readonly body: Buffer; readonly memory: MemoryReservation }
  | { readonly kind: 'too-large' }
  /** It does not fit into the memory budget of the process. */
  | { readonly kind: 'no-memory'; readonly bytes: number }
  | { readonly kind: 'late' }
  | { readonly kind: 'caller-disconnected' };

/**
 * Reads the body of a request into memory of the budget. The declared length is reserved before the first byte is read,
 * so that a body that has begun can also be completed; a body without a length is reserved as it grows. Chunks are
 * copied: each is a slice that would keep the whole buffer of its read alive.
 */
export async function readRequestBody(
  message: IncomingMessage,
  limits: BodyLimits,
  budget: MemoryBudget,
): Promise<BodyResult> {
  const declaredBytes = declaredLength(message);
  if (declaredBytes !== undefined && declaredBytes > limits.maxBytes) {
    return { kind: 'too-large' };
  }
  const memory = budget.reserve(declaredBytes ?? 0);
  if (memory === undefined) {
    return { kind: 'no-memory', bytes: declaredBytes ?? 0 };
  }
  if (declaredBytes === 0) {
    return { kind: 'read', body: Buffer.alloc(0), memory };
  }
  const result = await receive(message, limits, memory, declaredBytes);
  if (result.kind !== 'read') {
    memory.dispose();
  }
  return result;
}

function declaredLength({ headers }: IncomingMessage): number | undefined {
  const isChunked = headers['transfer-encoding'] !== undefined;
  return isChunked ? undefined : Number(headers['content-length'] ?? 0);
}

function receive(
  message: IncomingMessage,
  { maxBytes, deadlineAt }: BodyLimits,
  memory: MemoryReservation,
  declaredBytes: number | undefined,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const buffer = new BodyBuffer(declaredBytes);
    let isFinished = false;
    const timer = setTimeout(() => {
      finish({ kind: 'late' });
    }, deadlineAt - performance.now());
    const finish = (result: BodyResult): void => {
      isFinished = true;
      clearTimeout(timer);
      message.off('data', onData);
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      const bytes = buffer.length + chunk.length;
      if (bytes > maxBytes) {
        finish({ kind: 'too-large' });
      } else if (declaredBytes === undefined && !memory.tryGrow(chunk.length)) {
        finish({ kind: 'no-memory', bytes });
      } else {
        buffer.append(chunk);
      }
    };
    message.on('data', onData);
    message.once('end', () => {
      if (isFinished) {
        return;
      }
      // Joining the chunks of a body without a declared length needs its memory twice for a moment.
      if (declaredBytes === undefined && !memory.tryGrow(buffer.length)) {
        finish({ kind: 'no-memory', bytes: buffer.length });
      } else {
        const body = buffer.join();
        memory.shrink(memory.bytes - body.length);
        finish({ kind: 'read', body, memory });
      }
    });
    message.once('close', () => {
      finish({ kind: 'caller-disconnected' });
    });
    message.once('error', () => {
      finish({ kind: 'caller-disconnected' });
    });
  });
}

/** Collects a body, without allocating its memory twice if its length is known. */
class BodyBuffer {
  readonly #buffer: Buffer | undefined;
  readonly #chunks: Buffer[] = [];
  #length = 0;

  constructor(declaredBytes: number | undefined) {
    this.#buffer = declaredBytes === undefined ? undefined : Buffer.allocUnsafe(declaredBytes);
  }

  get length(): number {
    return this.#length;
  }

  append(chunk: Buffer): void {
    if (this.#buffer === undefined) {
      this.#chunks.push(Buffer.from(chunk));
    } else {
      chunk.copy(this.#buffer, this.#length);
    }
    this.#length += chunk.length;
  }

  join(): Buffer {
    const body = this.#buffer ?? Buffer.concat(this.#chunks, this.#length);
    this.#chunks.length = 0;
    return body;
  }
}
