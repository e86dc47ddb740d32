import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { AttemptResult, ServerRequest, ServerTransport } from '../common/serverTransport.js';
import { ServerConnection } from './serverConnection.js';

/** Idle time after which a connection is probed before it carries a request that must not double. */
const PROBE_AFTER_IDLE_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 250;

interface ServerConnections {
  readonly idle: ServerConnection[];
  open: number;
}

/**
 * Transport over pooled connections. A connection that has been idle is trusted with a request that must not
 * double only after a probe on that same connection; a silent connection takes the idle ones along with it.
 */
export class ConnectionPool extends DisposableBase implements ServerTransport {
  readonly #servers = new Map<string, ServerConnections>();

  constructor() {
    super();
    this.register(
      toDisposable(() => {
        for (const address of this.#servers.keys()) {
          this.#retireIdle(address, Number.POSITIVE_INFINITY);
        }
      }),
    );
  }

  /** Connections that are open to a server, in use or idle. */
  openConnections(address: string): number {
    return this.#servers.get(address)?.open ?? 0;
  }

  async send(request: ServerRequest): Promise<AttemptResult> {
    const startedAt = performance.now();
    const connection = await this.#take(request);
    if (connection === undefined) {
      return { kind: 'not-written' };
    }
    const result = await connection.send(request);
    if (result.kind === 'lost' && result.cause === 'deadline') {
      this.#retireIdle(request.address, startedAt);
    }
    this.#give(request.address, connection);
    return result;
  }

  async #take(request: ServerRequest): Promise<ServerConnection | undefined> {
    const servers = this.#connections(request.address);
    for (let connection = servers.idle.pop(); connection !== undefined; connection = servers.idle.pop()) {
      if (await isTrusted(connection, request)) {
        return connection;
      }
      this.#close(request.address, connection);
    }
    if (servers.open >= request.connectionLimit || this.isDisposed()) {
      return undefined;
    }
    servers.open += 1;
    return new ServerConnection(request.address);
  }

  #give(address: string, connection: ServerConnection): void {
    if (connection.isBroken || this.isDisposed()) {
      this.#close(address, connection);
      return;
    }
    this.#connections(address).idle.push(connection);
  }

  #retireIdle(address: string, notProvenSince: number): void {
    const servers = this.#connections(address);
    const doubtful = servers.idle.filter(({ provenAt }) => (provenAt ?? 0) < notProvenSince);
    for (const connection of doubtful) {
      servers.idle.splice(servers.idle.indexOf(connection), 1);
      this.#close(address, connection);
    }
  }

  #close(address: string, connection: ServerConnection): void {
    connection.dispose();
    this.#connections(address).open -= 1;
  }

  #connections(address: string): ServerConnections {
    const known = this.#servers.get(address);
    if (known !== undefined) {
      return known;
    }
    const servers: ServerConnections = { idle: [], open: 0 };
    this.#servers.set(address, servers);
    return servers;
  }
}

async function isTrusted(connection: ServerConnection, request: ServerRequest): Promise<boolean> {
  if (connection.isBroken) {
    return false;
  }
  const idleMilliseconds = performance.now() - (connection.provenAt ?? 0);
  if (request.isIdempotent || idleMilliseconds < PROBE_AFTER_IDLE_MILLISECONDS) {
    return true;
  }
  return connection.probe(Math.min(PROBE_TIMEOUT_MILLISECONDS, request.timeoutMilliseconds));
}
