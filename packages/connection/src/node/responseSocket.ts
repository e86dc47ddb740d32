import { Socket } from 'node:net';

/**
 * Socket that reports received bytes before they are parsed, and yields to the event loop between two reads.
 * Without the yield, libuv reports data and a reset that arrive together as data and a regular end, and a
 * truncated response without a content length looks complete.
 */
export class ResponseSocket extends Socket {
  readonly #acceptsBytes: (byteCount: number) => boolean;

  /** @param acceptsBytes called with the size of each chunk; the chunk is discarded if it returns false. */
  constructor(acceptsBytes: (byteCount: number) => boolean) {
    super({ readableHighWaterMark: 1 } as ConstructorParameters<typeof Socket>[0]);
    this.#acceptsBytes = acceptsBytes;
  }

  override _read(size: number): void {
    setImmediate(() => {
      if (!this.destroyed) {
        super._read(size);
      }
    });
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    return chunk !== null && !this.#acceptsBytes(chunk.length) ? false : super.push(chunk, encoding);
  }
}
