import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { RoutingView } from '@hickoryhoist/dispatch/common/requestDispatcher.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { EntryVmRoster } from './entryVmRoster.js';
import type { KeyControl } from './keyControl.js';
import type { ServerRegistry } from './serverRegistry.js';

/** Time in which a leaving server's keys usually have a new owner, in milliseconds. */
const HAND_OVER_MILLISECONDS = 1_200;
/**
 * Part of the connections that a server accepts which entry VMs keep open without a request. The rest is for
 * requests, which are as many as the server has slots, and for orders.
 */
const IDLE_CONNECTION_SHARE = 0.8;

/** What the dispatcher reads of servers and owners, put together from the tasks that follow them. */
export class EntryVmKnowledge implements RoutingView {
  readonly #registry: ServerRegistry;
  readonly #keys: KeyControl;
  readonly #roster: EntryVmRoster;
  readonly #services: () => ReadonlyMap<string, RoutedService>;

  readonly onDidChangeOwners: Event<void>;
  readonly pause = delay;

  constructor(
    registry: ServerRegistry,
    keys: KeyControl,
    roster: EntryVmRoster,
    services: () => ReadonlyMap<string, RoutedService>,
  ) {
    this.#registry = registry;
    this.#keys = keys;
    this.#roster = roster;
    this.#services = services;
    this.onDidChangeOwners = keys.owners.onDidChange;
  }

  server(id: string): ServerRecord | undefined {
    const server = this.#registry.servers.get(id);
    return server?.phase === 'ready' ? server : undefined;
  }

  ownerOf(service: string, key: number): string | undefined {
    return this.#keys.owners.ownerOf(service, key);
  }

  isOwnershipInTransfer(service: string, key: number): boolean {
    const owner = this.ownerOf(service, key);
    const milliseconds = owner === undefined ? undefined : this.#registry.leavingMilliseconds(owner);
    return milliseconds !== undefined && milliseconds < HAND_OVER_MILLISECONDS;
  }

  hasUnconfirmedOwner(service: string, key: number): boolean {
    return this.#keys.owners.hasUnconfirmedOwner(service, key);
  }

  receivesOwnerUpdates(): boolean {
    return this.#keys.receivesOwnerUpdates;
  }

  maxIdleConnections(service: string): number {
    const limit = this.#services().get(service)?.connectionsPerServer ?? 0;
    const entryVms = Math.max(1, this.#roster.entryVms().length);
    return Math.floor((limit * IDLE_CONNECTION_SHARE) / entryVms);
  }
}
