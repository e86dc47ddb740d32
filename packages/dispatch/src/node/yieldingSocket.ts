import { Socket } from 'node:net';

/**
 * Socket that yields to the event loop between two reads. Otherwise libuv reports data and a reset that
 * arrive together as data and a regular end, and a truncated response without a content length looks
 * complete.
 */
export class YieldingSocket extends Socket {
  constructor() {
    super({ readableHighWaterMark: 1 } as ConstructorParameters<typeof Socket>[0]);
  }

  override _read(size: number): void {
    setImmediate(() => {
      if (!this.destroyed) {
        super._read(size);
      }
    });
  }
}
