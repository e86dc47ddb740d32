import { createServer } from 'node:net';

/** Requests with longer bodies count as long. */
const LONG_BYTES = 1_000_000;

/**
 * An upstream that rejects a share of the long requests before their bodies are in, keeps the connection, and reads the
 * rest of the body later. It reads and runs all others.
 */
export class EarlyUpstream {
  #options;
  #server;
  #heartbeat;
  #seq = 0;
  ran = [];
  rejectedEarly = [];

  /** @param options id, service, store, record, workMilliseconds, slots, rejects() and readsOnAfterMilliseconds. */
  constructor(options) {
    this.#options = options;
  }

  async listen() {
    this.#server = createServer((socket) => this.#serve(socket));
    await new Promise((done) => this.#server.listen(0, '127.0.0.1', done));
    const address = `127.0.0.1:${this.#server.address().port}`;
    const born = Date.now();
    const announce = () => {
      const { id, service, store, slots } = this.#options;
      this.#seq += 1;
      store.put('servers', id, {
        address,
        born,
        info: { service, version: 'v1', zone: 'zone-1', slots },
        status: { state: 'ready', seq: this.#seq, warmup_left: '0ms' },
      });
    };
    announce();
    this.#heartbeat = setInterval(announce, 870);
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
  }

  #serve(socket) {
    const { id: self, record, workMilliseconds, rejects, readsOnAfterMilliseconds } = this.#options;
    let part = 'head';
    let head = '';
    let left = 0;
    let id = '';
    const run = () => {
      const current = id;
      this.ran.push(current);
      record.add(`${self} runs ${current}`);
      setTimeout(() => {
        socket.write(
          `HTTP/1.1 200 OK\r\nX-Hickoryhoist-Attempt-Id: ${current}\r\n` +
            `X-Hickoryhoist-Upstream-Signature: signature.${self}.${current}\r\nContent-Length: 2\r\n\r\nok`,
        );
      }, workMilliseconds);
    };
    const endHead = (text) => {
      id = /^x-hickoryhoist-attempt-id: (\S+)/im.exec(text)?.[1] ?? '';
      left = Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0);
      if (left > LONG_BYTES && rejects()) {
        this.rejectedEarly.push(id);
        record.add(`${self} rejects ${id} before its body is in, and reads on later`);
        socket.write(
          `HTTP/1.1 503 Service Unavailable\r\nX-Hickoryhoist-Attempt-Id: ${id}\r\n` +
            'X-Hickoryhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        );
        part = 'rest';
        socket.pause();
        setTimeout(() => socket.resume(), readsOnAfterMilliseconds);
      } else {
        part = 'body';
      }
    };
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      let offset = 0;
      while (offset < chunk.length) {
        if (part === 'head') {
          const before = head.length;
          head += chunk.toString('latin1', offset);
          const end = head.indexOf('\r\n\r\n');
          if (end === -1) {
            return;
          }
          offset += end + 4 - before;
          const text = head.slice(0, end);
          head = '';
          endHead(text);
        } else {
          const taken = Math.min(left, chunk.length - offset);
          left -= taken;
          offset += taken;
        }
        if (part !== 'head' && left === 0) {
          const isBody = part === 'body';
          part = 'head';
          if (isBody) {
            run();
          }
        }
      }
    });
  }
}
