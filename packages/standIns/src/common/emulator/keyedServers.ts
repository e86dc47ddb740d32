import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type {
  GrantResult,
  KeyGrant,
  KeyGrantClient,
  KeyRelease,
  ServerEndpoint,
  ReleaseResult,
} from '@hickoryhoist/keyownership/common/keyGrantClient.js';

const ANSWER_MILLISECONDS = 2;
/** A server's clock may be slow by this share, so that what it holds ends later than told. */
const SLOW_CLOCK = 1.02;

interface Holding {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly endsAt: number;
}

/** How a server treats orders. */
export type ServerCondition =
  | { readonly kind: 'answering' }
  | { readonly kind: 'refusing-connections' }
  /** Another process has the address and knows nothing of keys. */
  | { readonly kind: 'rejecting' }
  /** Orders get no answer and are carried out after a time, which still counts from their arrival. */
  | { readonly kind: 'late'; readonly doneAfterMilliseconds: number }
  /** Orders get lost. */
  | { readonly kind: 'dark' };

/** A server that owns keys for as long as its grants last. */
export class KeyedServer {
  readonly id: string;
  condition: ServerCondition = { kind: 'answering' };
  isUp = true;
  #holdings: Holding[] = [];
  #highestFences: Holding[] = [];
  #incarnation = 1;

  constructor(id: string) {
    this.id = id;
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** Ends the process and starts another one under the same id. */
  restart(): void {
    this.#holdings = [];
    this.#highestFences = [];
    this.#incarnation += 1;
    this.isUp = true;
  }

  crash(): void {
    this.isUp = false;
    this.condition = { kind: 'refusing-connections' };
    this.#holdings = [];
  }

  holds(key: number): boolean {
    const now = performance.now();
    return (
      this.isUp && this.#holdings.some(({ from, to, endsAt }) => from <= key && key <= to && now < endsAt)
    );
  }

  apply(grant: KeyGrant, arrivedAt: number): GrantResult {
    const { from, to, fence, durationMilliseconds: holdMilliseconds } = grant;
    const isFenced = this.#highestFences.some(
      (seen) => seen.from <= to && from <= seen.to && seen.fence > fence,
    );
    if (isFenced) {
      return { kind: 'fenced' };
    }
    const endsAt = arrivedAt + holdMilliseconds * SLOW_CLOCK;
    this.#highestFences.push({ from, to, fence, endsAt });
    this.#holdings = this.#holdings.filter((held) => !(held.from === from && held.to === to));
    this.#holdings.push({ from, to, fence, endsAt });
    return { kind: 'granted' };
  }

  release({ from, to }: KeyRelease): void {
    this.#holdings = this.#holdings.flatMap((held) => {
      if (held.to < from || to < held.from) {
        return [held];
      }
      return [
        { ...held, to: from - 1 },
        { ...held, from: to + 1 },
      ].filter((part) => part.from <= part.to);
    });
  }
}

/** Servers of a keyed service, and the orders that reach them. */
export class KeyedServers implements KeyGrantClient {
  readonly servers = new Map<string, KeyedServer>();
  /** Orders of these senders do not get through to these servers. */
  readonly partitions = new Set<string>();
  grants = 0;

  add(id: string): KeyedServer {
    const server = new KeyedServer(id);
    this.servers.set(id, server);
    return server;
  }

  /** Ids of servers that hold a key now; more than one breaks sole ownership. */
  holders(key: number): readonly string[] {
    return [...this.servers.values()].filter((server) => server.holds(key)).map(({ id }) => id);
  }

  /** The same servers as one sender reaches them. */
  clientFor(sender: string): KeyGrantClient {
    return {
      grant: (target, grant, timeout, mayStillSend) =>
        this.partitions.has(`${sender} ${target.serverId}`)
          ? this.#silence(timeout)
          : this.grant(target, grant, timeout, mayStillSend),
      release: async (target, release, timeout) => {
        if (this.partitions.has(`${sender} ${target.serverId}`)) {
          await delay(timeout);
          return { kind: 'failed', reason: 'cut off' };
        }
        return this.release(target, release, timeout);
      },
    };
  }

  async grant(
    { serverId }: ServerEndpoint,
    grant: KeyGrant,
    timeoutMilliseconds: number,
    mayStillSend: () => boolean,
  ): Promise<GrantResult> {
    const server = this.servers.get(serverId);
    await delay(ANSWER_MILLISECONDS);
    if (server === undefined || server.condition.kind === 'refusing-connections') {
      return { kind: 'not-sent', reason: 'connection refused' };
    }
    if (!mayStillSend()) {
      return { kind: 'not-sent', reason: 'no right' };
    }
    this.grants += 1;
    const arrivedAt = performance.now();
    const { incarnation } = server;
    switch (server.condition.kind) {
      case 'answering':
        return server.apply(grant, arrivedAt);
      case 'late':
        setTimeout(() => {
          if (server.incarnation === incarnation) {
            server.apply(grant, arrivedAt);
          }
        }, server.condition.doneAfterMilliseconds);
        return this.#silence(timeoutMilliseconds);
      case 'dark':
        return this.#silence(timeoutMilliseconds);
      case 'rejecting':
        return { kind: 'rejected', status: 400 };
    }
  }

  async release(
    { serverId }: ServerEndpoint,
    release: KeyRelease,
    timeoutMilliseconds: number,
  ): Promise<ReleaseResult> {
    const server = this.servers.get(serverId);
    await delay(ANSWER_MILLISECONDS);
    if (server === undefined || server.condition.kind === 'refusing-connections') {
      return { kind: 'failed', reason: 'connection refused' };
    }
    if (server.condition.kind === 'dark') {
      await delay(timeoutMilliseconds);
      return { kind: 'failed', reason: 'no answer' };
    }
    if (server.condition.kind === 'rejecting') {
      return { kind: 'failed', reason: 'status 400' };
    }
    server.release(release);
    return { kind: 'released', handover: `handover-${serverId}` };
  }

  async #silence(timeoutMilliseconds: number): Promise<GrantResult> {
    await delay(timeoutMilliseconds);
    return { kind: 'in-doubt', reason: 'no answer in time' };
  }
}
