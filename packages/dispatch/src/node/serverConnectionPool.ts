import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { ServerCall, ServerCallResult, ServerProtocol, ServerTransport } from '../common/serverCall.js';
import { ServerConnection } from './serverConnection.js';

/**
 * Idle time up to which a connection is reused for a non-idempotent request, in milliseconds. The server or
 * the network may have dropped a connection that was idle for longer.
 */
const MAX_NON_IDEMPOTENT_IDLE_MILLISECONDS = 4_000;

/**
 * Transport over pooled connections. The slots of servers limit the requests in flight, so the pool limits
 * only idle connections. A response timeout on one connection also closes the idle ones to that server.
 */
export class ServerConnectionPool extends DisposableBase implements ServerTransport {
  readonly #protocol: ServerProtocol;
  /** Idle connections by address, the most recently used one last. */
  readonly #idle = new Map<string, ServerConnection[]>();
  #openedCount = 0;

  constructor(protocol: ServerProtocol) {
    super();
    this.#protocol = protocol;
    this.register(
      toDisposable(() => {
        for (const idle of this.#idle.values()) {
          closeWithoutResponseSince(idle, Number.POSITIVE_INFINITY);
        }
      }),
    );
  }

  /** Number of connections opened so far. */
  get openedCount(): number {
    return this.#openedCount;
  }

  async call(call: ServerCall): Promise<ServerCallResult> {
    if (this.isDisposed()) {
      return { kind: 'not-written' };
    }
    const idle = this.#idleOf(call.address);
    const connection = takeReusable(idle, call.isIdempotent) ?? this.#open(call.address);
    const startedAt = performance.now();
    const result = await connection.send(call);
    if (result.kind === 'lost' && result.reason === 'deadline') {
      closeWithoutResponseSince(idle, startedAt);
    }
    if (connection.isUsable && !this.isDisposed() && idle.length < call.maxIdleConnections) {
      idle.push(connection);
    } else {
      connection.dispose();
    }
    return result;
  }

  #open(address: string): ServerConnection {
    this.#openedCount += 1;
    return new ServerConnection(address, this.#protocol);
  }

  #idleOf(address: string): ServerConnection[] {
    const existing = this.#idle.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const idle: ServerConnection[] = [];
    this.#idle.set(address, idle);
    return idle;
  }
}

/** Takes the most recently used connection that can be reused, and closes the others it passes. */
function takeReusable(idle: ServerConnection[], isIdempotent: boolean): ServerConnection | undefined {
  for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
    const idleMilliseconds = performance.now() - connection.lastResponseAt;
    if (connection.isUsable && (isIdempotent || idleMilliseconds < MAX_NON_IDEMPOTENT_IDLE_MILLISECONDS)) {
      return connection;
    }
    connection.dispose();
  }
  return undefined;
}

/** Closes connections that have had no response since a point in time. */
function closeWithoutResponseSince(idle: ServerConnection[], since: number): void {
  for (const connection of idle.filter(({ lastResponseAt }) => lastResponseAt < since)) {
    idle.splice(idle.indexOf(connection), 1);
    connection.dispose();
  }
}
