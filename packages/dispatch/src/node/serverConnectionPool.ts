import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import type { ResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import { ResponseMemory } from '@hickoryhoist/connection/common/responseMemory.js';
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
  readonly #limits: ResponseLimits;
  readonly #memory: ResponseMemory;
  /** Idle connections by address, the most recently used one last. */
  readonly #idle = new Map<string, ServerConnection[]>();
  #openedCount = 0;

  constructor(protocol: ServerProtocol, limits: ResponseLimits) {
    super();
    this.#protocol = protocol;
    this.#limits = limits;
    this.#memory = new ResponseMemory(limits.maxBufferedBytes);
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

  /** Closes the connections to an address that carry no request. */
  closeIdle(address: string): void {
    closeWithoutResponseSince(this.#idle.get(address) ?? [], Number.POSITIVE_INFINITY);
  }

  async call(call: ServerCall): Promise<ServerCallResult> {
    if (this.isDisposed()) {
      return { kind: 'not-written' };
    }
    const idle = this.#idleOf(call.address);
    const connection = (await takeReusable(idle, call)) ?? this.#open(call.address);
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
    return new ServerConnection(address, this.#protocol, this.#limits, this.#memory);
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

/**
 * Takes the most recently used connection that can be reused, and closes unusable ones that it passes. Connections
 * that have carried the same request before stay idle.
 */
async function takeReusable(
  idle: ServerConnection[],
  { requestId, isIdempotent }: ServerCall,
): Promise<ServerConnection | undefined> {
  for (let index = idle.length - 1; index >= 0; index = Math.min(index, idle.length) - 1) {
    const connection = idle[index];
    if (connection === undefined || connection.hasCarried(requestId)) {
      continue;
    }
    idle.splice(index, 1);
    const idleMilliseconds = performance.now() - connection.lastResponseAt;
    const isRecent = isIdempotent || idleMilliseconds < MAX_NON_IDEMPOTENT_IDLE_MILLISECONDS;
    if (isRecent && (await connection.remainsUsable())) {
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
