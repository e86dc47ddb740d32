import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { defaultResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import { ResponseMemory } from '@hickoryhoist/connection/common/responseMemory.js';
import type { AttemptResult, ServerRequest, ServerTransport } from '../common/serverTransport.js';
import { ServerConnection } from './serverConnection.js';

/** Idle time after which a connection is probed before a non-idempotent request is sent on it. */
const PROBE_AFTER_IDLE_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 250;

interface ServerPool {
  readonly idle: ServerConnection[];
  open: number;
}

/**
 * Sends requests over pooled connections. An idle connection is probed before a non-idempotent request is sent on
 * it. After a timeout on one connection, the idle connections to that server are closed as well, unless they have
 * received a response since the request was sent.
 */
export class ConnectionPool extends DisposableBase implements ServerTransport {
  readonly #servers = new Map<string, ServerPool>();
  readonly #memory = new ResponseMemory(defaultResponseLimits.maxBufferedBytes);

  constructor() {
    super();
    this.register(
      toDisposable(() => {
        for (const address of this.#servers.keys()) {
          this.#closeIdle(address, Number.POSITIVE_INFINITY);
        }
      }),
    );
  }

  /** Number of open connections to a server, in use or idle. */
  openConnections(address: string): number {
    return this.#servers.get(address)?.open ?? 0;
  }

  async send(request: ServerRequest): Promise<AttemptResult> {
    const startedAt = performance.now();
    const connection = await this.#acquire(request);
    if (connection === undefined) {
      return { kind: 'not-written' };
    }
    const result = await connection.send(request);
    if (result.kind === 'lost' && result.cause === 'deadline') {
      this.#closeIdle(request.address, startedAt);
    }
    this.#release(request.address, connection);
    return result;
  }

  async #acquire(request: ServerRequest): Promise<ServerConnection | undefined> {
    const pool = this.#serverPool(request.address);
    for (let index = pool.idle.length - 1; index >= 0; index = Math.min(index, pool.idle.length) - 1) {
      const connection = pool.idle[index];
      if (connection === undefined || connection.hasCarried(request.requestId)) {
        continue;
      }
      pool.idle.splice(index, 1);
      if (await isUsable(connection, request)) {
        return connection;
      }
      this.#close(request.address, connection);
    }
    if (pool.open >= request.connectionLimit || this.isDisposed()) {
      return undefined;
    }
    pool.open += 1;
    return new ServerConnection(request.address, this.#memory);
  }

  #release(address: string, connection: ServerConnection): void {
    if (!connection.isUsable || this.isDisposed()) {
      this.#close(address, connection);
      return;
    }
    this.#serverPool(address).idle.push(connection);
  }

  #closeIdle(address: string, withoutResponseSince: number): void {
    const pool = this.#serverPool(address);
    const unverified = pool.idle.filter(({ lastResponseAt }) => lastResponseAt < withoutResponseSince);
    for (const connection of unverified) {
      pool.idle.splice(pool.idle.indexOf(connection), 1);
      this.#close(address, connection);
    }
  }

  #close(address: string, connection: ServerConnection): void {
    connection.dispose();
    this.#serverPool(address).open -= 1;
  }

  #serverPool(address: string): ServerPool {
    const known = this.#servers.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool: ServerPool = { idle: [], open: 0 };
    this.#servers.set(address, pool);
    return pool;
  }
}

async function isUsable(connection: ServerConnection, request: ServerRequest): Promise<boolean> {
  if (!(await connection.remainsUsable())) {
    return false;
  }
  const idleMilliseconds = performance.now() - connection.lastResponseAt;
  if (request.isIdempotent || idleMilliseconds < PROBE_AFTER_IDLE_MILLISECONDS) {
    return true;
  }
  return connection.probe(Math.min(PROBE_TIMEOUT_MILLISECONDS, request.timeoutMilliseconds));
}
