import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

const LISTEN = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer();
  server.listen({ host: workerData.host, port: workerData.port, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(() => Atomics.wait(workerData.stopped, 0, 0), 0);
  });
`;
/** Connections that fill the queue of a port whose backlog is 1. */
const QUEUED_CONNECTIONS = 4;
const FILLING_MILLISECONDS = 100;

/** A port on which further connections are neither established nor refused, like that of a machine without power. */
export class UnacceptingPort {
  readonly port: number;
  readonly #worker: Worker;
  readonly #stopped: Int32Array;
  readonly #queued: readonly Socket[];

  private constructor(port: number, worker: Worker, stopped: Int32Array, queued: readonly Socket[]) {
    this.port = port;
    this.#worker = worker;
    this.#stopped = stopped;
    this.#queued = queued;
  }

  /** @param port 0 for any. */
  static async listen(host: string, port = 0): Promise<UnacceptingPort> {
    const stopped = new Int32Array(new SharedArrayBuffer(4));
    const worker = new Worker(LISTEN, { eval: true, workerData: { host, port, stopped } });
    const listening = await new Promise<number>((resolve, reject) => {
      worker.once('message', resolve);
      worker.once('error', reject);
    });
    const queued = Array.from({ length: QUEUED_CONNECTIONS }, () =>
      connect({ host, port: listening }).on('error', () => undefined),
    );
    await new Promise((resolve) => setTimeout(resolve, FILLING_MILLISECONDS));
    return new UnacceptingPort(listening, worker, stopped, queued);
  }

  async dispose(): Promise<void> {
    this.#queued.forEach((socket) => socket.destroy());
    Atomics.store(this.#stopped, 0, 1);
    Atomics.notify(this.#stopped, 0);
    await this.#worker.terminate();
  }
}
