/** A response whose body is being received. */
export interface IncompleteResponse {
  /** Bytes allocated for its body. */
  readonly bufferedBytes: number;
  /** Ends the exchange and discards what was received. */
  discard(): void;
}

/** Bounds the bytes of all incomplete response bodies. Beyond the bound, the largest response is discarded. */
export class ResponseMemory {
  readonly #maxBufferedBytes: number;
  readonly #responses = new Set<IncompleteResponse>();
  #bufferedBytes = 0;

  constructor(maxBufferedBytes: number) {
    this.#maxBufferedBytes = maxBufferedBytes;
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** Counts bytes that were allocated for the body of a response; its `bufferedBytes` already includes them. */
  add(response: IncompleteResponse, byteCount: number): void {
    this.#responses.add(response);
    this.#bufferedBytes += byteCount;
    while (this.#bufferedBytes > this.#maxBufferedBytes) {
      const largest = [...this.#responses].reduce((left, right) =>
        right.bufferedBytes > left.bufferedBytes ? right : left,
      );
      this.release(largest);
      largest.discard();
    }
  }

  /** Stops counting a response that is complete or was discarded. */
  release(response: IncompleteResponse): void {
    if (this.#responses.delete(response)) {
      this.#bufferedBytes -= response.bufferedBytes;
    }
  }
}
