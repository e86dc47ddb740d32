import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type {
  GrantResult,
  KeyGrant,
  KeyGrantClient,
  KeyRelease,
  ServerEndpoint,
  ReleaseResult,
} from '@hickoryhoist/keyownership/common/keyGrantClient.js';

const RESPONSE_MILLISECONDS = 2;
/** Emulates a server clock that runs 2 % slow: a grant lasts longer than its requested duration. */
const SLOW_CLOCK_FACTOR = 1.02;

interface GrantedRange {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly expiresAt: number;
}

/** Emulated reaction of a server to commands. */
export type ServerCondition =
  | { readonly kind: 'answering' }
  | { readonly kind: 'refusing-connections' }
  /** Another process has taken over the address and doesn't know the commands. */
  | { readonly kind: 'rejecting' }
  /** Grants get no response and are applied after a delay; their duration still counts from arrival. */
  | { readonly kind: 'late'; readonly appliedAfterMilliseconds: number }
  /** Commands are lost and get no response. */
  | { readonly kind: 'unresponsive' };

/** Emulated server that owns the key ranges granted to it until the grants expire. */
export class KeyedServer {
  readonly id: string;
  condition: ServerCondition = { kind: 'answering' };
  isUp = true;
  #grantedRanges: GrantedRange[] = [];
  #fencesSeen: GrantedRange[] = [];
  #incarnation = 1;

  constructor(id: string) {
    this.id = id;
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** Replaces the process by a new one with the same id and another incarnation. */
  restart(): void {
    this.#grantedRanges = [];
    this.#fencesSeen = [];
    this.#incarnation += 1;
    this.isUp = true;
  }

  crash(): void {
    this.isUp = false;
    this.condition = { kind: 'refusing-connections' };
    this.#grantedRanges = [];
  }

  ownsKey(key: number): boolean {
    return this.fenceOf(key) !== undefined;
  }

  /** The highest fence under which this server owns a key; undefined if it does not. */
  fenceOf(key: number): number | undefined {
    const now = performance.now();
    const fences = this.#grantedRanges
      .filter(({ from, to, expiresAt }) => from <= key && key <= to && now < expiresAt)
      .map(({ fence }) => fence);
    return this.isUp && fences.length > 0 ? Math.max(...fences) : undefined;
  }

  get ownsAnyKey(): boolean {
    const now = performance.now();
    return this.isUp && this.#grantedRanges.some(({ expiresAt }) => now < expiresAt);
  }

  apply(grant: KeyGrant, arrivedAt: number): GrantResult {
    const { from, to, fence, durationMilliseconds } = grant;
    const isFenced = this.#fencesSeen.some(
      (seen) => seen.from <= to && from <= seen.to && seen.fence > fence,
    );
    if (isFenced) {
      return { kind: 'fenced' };
    }
    const expiresAt = arrivedAt + durationMilliseconds * SLOW_CLOCK_FACTOR;
    this.#fencesSeen.push({ from, to, fence, expiresAt });
    this.#grantedRanges = this.#grantedRanges.filter((other) => !(other.from === from && other.to === to));
    this.#grantedRanges.push({ from, to, fence, expiresAt });
    return { kind: 'granted' };
  }

  /** Whether the server has seen a fence on some of the keys that is not below another one. */
  hasSeenFence({ from, to, fence }: Pick<KeyGrant, 'from' | 'to' | 'fence'>): boolean {
    return this.#fencesSeen.some((seen) => seen.from <= to && from <= seen.to && seen.fence >= fence);
  }

  release({ from, to }: KeyRelease): void {
    this.#grantedRanges = this.#grantedRanges.flatMap((granted) => {
      if (granted.to < from || to < granted.from) {
        return [granted];
      }
      return [
        { ...granted, to: from - 1 },
        { ...granted, from: to + 1 },
      ].filter((part) => part.from <= part.to);
    });
  }
}

/** Emulated servers of a keyed service, and a client that sends commands to them. */
export class KeyedServers implements KeyGrantClient {
  readonly servers = new Map<string, KeyedServer>();
  /** Network partitions, as `sender serverId`: commands of this sender don't reach this server. */
  readonly partitions = new Set<string>();
  /** Senders, each with a server, whose kept connection a network partition has broken. */
  readonly #brokenConnections = new Set<string>();
  grantCount = 0;
  /** Grants under a fence that another server had already seen on the same keys. */
  readonly reusedFences: string[] = [];

  add(id: string): KeyedServer {
    const server = new KeyedServer(id);
    this.servers.set(id, server);
    return server;
  }

  /** Ids of the servers that own a key now; more than one violates exclusive ownership. */
  holders(key: number): readonly string[] {
    return [...this.servers.values()].filter((server) => server.ownsKey(key)).map(({ id }) => id);
  }

  /** Creates a client for one sender, which is subject to that sender's network partitions. */
  clientFor(sender: string): KeyGrantClient {
    return {
      grant: (target, grant, timeout, mayStillSend) => {
        const pair = `${sender} ${target.serverId}`;
        if (this.partitions.has(pair)) {
          return this.#grantAcrossPartition(pair, timeout);
        }
        this.#brokenConnections.delete(pair);
        return this.grant(target, grant, timeout, mayStillSend);
      },
      release: async (target, release, timeout) => {
        if (this.partitions.has(`${sender} ${target.serverId}`)) {
          await delay(timeout);
          return { kind: 'failed', reason: 'network partition' };
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
    await delay(RESPONSE_MILLISECONDS);
    if (server === undefined || server.condition.kind === 'refusing-connections') {
      return { kind: 'not-sent', reason: 'connection refused' };
    }
    if (!mayStillSend()) {
      return { kind: 'not-sent', reason: 'assigner lease expired' };
    }
    this.grantCount += 1;
    const arrivedAt = performance.now();
    const { incarnation } = server;
    switch (server.condition.kind) {
      case 'answering':
        this.#checkFence(server, grant);
        return server.apply(grant, arrivedAt);
      case 'late':
        setTimeout(() => {
          if (server.incarnation === incarnation) {
            server.apply(grant, arrivedAt);
          }
        }, server.condition.appliedAfterMilliseconds);
        return this.#waitForTimeout(timeoutMilliseconds);
      case 'unresponsive':
        return this.#waitForTimeout(timeoutMilliseconds);
      case 'rejecting':
        return { kind: 'rejected', status: 400 };
    }
  }

  #checkFence(server: KeyedServer, grant: KeyGrant): void {
    for (const other of this.servers.values()) {
      if (other !== server && other.isUp && !server.hasSeenFence(grant) && other.hasSeenFence(grant)) {
        const { from, to, fence } = grant;
        const keys = `${from.toString()} to ${to.toString()}`;
        this.reusedFences.push(`fence ${fence.toString()} on ${keys} at ${server.id} after ${other.id}`);
      }
    }
  }

  async release(
    { serverId }: ServerEndpoint,
    release: KeyRelease,
    timeoutMilliseconds: number,
  ): Promise<ReleaseResult> {
    const server = this.servers.get(serverId);
    await delay(RESPONSE_MILLISECONDS);
    if (server === undefined || server.condition.kind === 'refusing-connections') {
      return { kind: 'failed', reason: 'connection refused' };
    }
    if (server.condition.kind === 'unresponsive') {
      await delay(timeoutMilliseconds);
      return { kind: 'failed', reason: 'no response' };
    }
    if (server.condition.kind === 'rejecting') {
      return { kind: 'failed', reason: 'status 400' };
    }
    server.release(release);
    return { kind: 'released', handover: `handover-${serverId}` };
  }

  /** The first command is written to the kept connection; those after it find no connection. */
  async #grantAcrossPartition(pair: string, timeoutMilliseconds: number): Promise<GrantResult> {
    if (this.#brokenConnections.has(pair)) {
      await delay(timeoutMilliseconds);
      return { kind: 'not-sent', reason: 'no connection before the timeout' };
    }
    this.#brokenConnections.add(pair);
    return this.#waitForTimeout(timeoutMilliseconds);
  }

  async #waitForTimeout(timeoutMilliseconds: number): Promise<GrantResult> {
    await delay(timeoutMilliseconds);
    return { kind: 'in-doubt', reason: 'no response in time' };
  }
}
