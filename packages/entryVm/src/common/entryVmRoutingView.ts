import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RoutingView } from '@hickoryhoist/dispatch/common/requestDispatcher.js';
import { ServerPauses } from '@hickoryhoist/dispatch/common/serverPauses.js';
import type { ServerStatements } from '@hickoryhoist/dispatch/common/serverStatements.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { AvailableServers } from './availableServers.js';
import type { EntryVmRegistry } from './entryVmRegistry.js';
import type { PeerMessage } from './peerMessage.js';
import type { KeyOwnershipController } from './keyOwnershipController.js';
import type { ServerRegistry } from './serverRegistry.js';

/** Time within which the keys of a leaving server usually have a new owner. */
const OWNERSHIP_TRANSFER_MILLISECONDS = 1_200;
/**
 * Share of a server's connection limit that entry VMs may use for idle connections. The rest is left for
 * requests, of which there are as many as the server has slots, and for commands of the assigner.
 */
const IDLE_CONNECTION_SHARE = 0.8;

/** Combines the registries of servers and entry VMs and the owners of keys into the dispatcher's view. */
export class EntryVmRoutingView implements RoutingView {
  readonly #serverRegistry: ServerRegistry;
  readonly #availableServers: AvailableServers;
  readonly #keyOwnership: KeyOwnershipController;
  readonly #entryVmRegistry: EntryVmRegistry;
  readonly #services: () => ReadonlyMap<string, RoutedService>;
  readonly #sendToOthers: (message: PeerMessage) => void;
  readonly #logger: Logger;

  /** Incarnations of the servers that asked for their latest pause. */
  readonly #pausedIncarnations = new Map<string, number>();

  readonly onDidChangeOwners: Event<void>;
  readonly pauses = new ServerPauses();
  readonly pause = delay;

  constructor(
    serverRegistry: ServerRegistry,
    availableServers: AvailableServers,
    keyOwnership: KeyOwnershipController,
    entryVmRegistry: EntryVmRegistry,
    services: () => ReadonlyMap<string, RoutedService>,
    sendToOthers: (message: PeerMessage) => void,
    logger: Logger,
  ) {
    this.#serverRegistry = serverRegistry;
    this.#availableServers = availableServers;
    this.#keyOwnership = keyOwnership;
    this.#entryVmRegistry = entryVmRegistry;
    this.#services = services;
    this.#sendToOthers = sendToOthers;
    this.#logger = logger;
    // A server that has started again knows nothing of a pause.
    serverRegistry.onDidChange(() => {
      for (const [id, incarnation] of this.#pausedIncarnations) {
        if (serverRegistry.servers.get(id)?.incarnation !== incarnation) {
          this.pauses.delete(id);
          this.#pausedIncarnations.delete(id);
        }
      }
    });
    this.onDidChangeOwners = keyOwnership.owners.onDidChange;
  }

  server(id: string): ServerRecord | undefined {
    return this.#availableServers.get(id);
  }

  serverIds(service: string): readonly string[] {
    return this.#availableServers.ofService(service).map(({ id }) => id);
  }

  /** An owner that gets no requests counts as none, so that requests are refused without a wait for a slot. */
  ownerOf(service: string, key: number): string | undefined {
    const owner = this.#keyOwnership.owners.ownerOf(service, key);
    return owner !== undefined && this.#availableServers.isInClosedZone(owner) ? undefined : owner;
  }

  isOwnershipInTransfer(service: string, key: number): boolean {
    const owner = this.ownerOf(service, key);
    const milliseconds = owner === undefined ? undefined : this.#serverRegistry.leavingMilliseconds(owner);
    return milliseconds !== undefined && milliseconds < OWNERSHIP_TRANSFER_MILLISECONDS;
  }

  hasUnconfirmedOwner(service: string, key: number): boolean {
    return this.#keyOwnership.owners.hasUnconfirmedOwner(service, key);
  }

  receivesOwnerUpdates(): boolean {
    return this.#keyOwnership.receivesOwnerUpdates;
  }

  /**
   * The other entry VMs are told of a server that is leaving, because the store may be away. While it works, they mostly
   * know already, and the first one to hear it is the only one to send.
   */
  recordStatements({ id, incarnation }: ServerRecord, statements: ServerStatements): void {
    const { isLeaving, pauseMilliseconds, unreadable } = statements;
    if (pauseMilliseconds !== undefined && this.server(id)?.incarnation === incarnation) {
      this.pauses.record(id, pauseMilliseconds, performance.now());
      this.#pausedIncarnations.set(id, incarnation);
      this.#logger.log('info', 'server-pause-started', {
        server: id,
        milliseconds: Math.round(pauseMilliseconds),
      });
    }
    if (unreadable.length > 0) {
      this.#logger.log('warn', 'server-statement-unreadable', {
        server: id,
        statements: unreadable.join('; '),
      });
    }
    if (isLeaving && this.#serverRegistry.recordStatedLeaving(id, incarnation)) {
      this.#sendToOthers({ type: 'server-leaving', serverId: id, serverIncarnation: incarnation });
    }
  }

  maxIdleConnections(service: string): number {
    const limit = this.#services().get(service)?.connectionsPerServer ?? 0;
    const entryVms = Math.max(1, this.#entryVmRegistry.entryVms().length);
    return Math.floor((limit * IDLE_CONNECTION_SHARE) / entryVms);
  }
}
