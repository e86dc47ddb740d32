import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { ServerCall, ServerCallResult, ServerProtocol, ServerTransport } from '../common/serverCall.js';
import { ServerConnection } from './serverConnection.js';

/**
 * Idle time up to which a connection is trusted with a request that must not double, in milliseconds. A server
 * or the network may have forgotten a connection that was idle for longer.
 */
const TRUSTED_IDLE_MILLISECONDS = 4_000;

/**
 * Transport over kept connections. Requests in flight are bounded by the slots of servers, so only idle connections
 * are bounded here. A connection that went silent takes the idle ones to that server along.
 */
export class ServerConnectionPool extends DisposableBase implements ServerTransport {
  readonly #dialect: ServerProtocol;
  /** Idle connections by address, the one used last at the end. */
  readonly #idle = new Map<string, ServerConnection[]>();
  #opened = 0;

  constructor(dialect: ServerProtocol) {
    super();
    this.#dialect = dialect;
    this.register(
      toDisposable(() => {
        for (const idle of this.#idle.values()) {
          closeUnproven(idle, Number.POSITIVE_INFINITY);
        }
      }),
    );
  }

  /** Connections opened so far. */
  get openedCount(): number {
    return this.#opened;
  }

  async call(call: ServerCall): Promise<ServerCallResult> {
    if (this.isDisposed()) {
      return { kind: 'not-written' };
    }
    const idle = this.#idleOf(call.address);
    const connection = takeTrusted(idle, call.isIdempotent) ?? this.#open(call.address);
    const startedAt = performance.now();
    const result = await connection.send(call);
    if (result.kind === 'lost' && result.reason === 'deadline') {
      closeUnproven(idle, startedAt);
    }
    if (connection.isUsable && !this.isDisposed() && idle.length < call.maxIdleConnections) {
      idle.push(connection);
    } else {
      connection.dispose();
    }
    return result;
  }

  #open(address: string): ServerConnection {
    this.#opened += 1;
    return new ServerConnection(address, this.#dialect);
  }

  #idleOf(address: string): ServerConnection[] {
    const known = this.#idle.get(address);
    if (known !== undefined) {
      return known;
    }
    const idle: ServerConnection[] = [];
    this.#idle.set(address, idle);
    return idle;
  }
}

/** Takes the connection used last that is still usable, and closes those that are not. */
function takeTrusted(idle: ServerConnection[], isIdempotent: boolean): ServerConnection | undefined {
  for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
    const idleMilliseconds = performance.now() - connection.provenAt;
    if (connection.isUsable && (isIdempotent || idleMilliseconds < TRUSTED_IDLE_MILLISECONDS)) {
      return connection;
    }
    connection.dispose();
  }
  return undefined;
}

/** Closes connections without an answer since a point in time. */
function closeUnproven(idle: ServerConnection[], since: number): void {
  for (const connection of idle.filter(({ provenAt }) => provenAt < since)) {
    idle.splice(idle.indexOf(connection), 1);
    connection.dispose();
  }
}
