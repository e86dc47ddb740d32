import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { ServerRegistry } from './serverRegistry.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** The servers that accept requests: they are ready, and their availability zone is not evacuated. */
export class AvailableServers {
  readonly #serverRegistry: ServerRegistry;
  readonly #evacuations: ZoneEvacuations;
  readonly #services: () => ReadonlyMap<string, RoutedService>;

  constructor(
    serverRegistry: ServerRegistry,
    evacuations: ZoneEvacuations,
    services: () => ReadonlyMap<string, RoutedService>,
  ) {
    this.#serverRegistry = serverRegistry;
    this.#evacuations = evacuations;
    this.#services = services;
  }

  /** The server with this identifier if it accepts requests. */
  get(id: string): ServerRecord | undefined {
    const server = this.#serverRegistry.servers.get(id);
    return server?.phase === 'ready' && this.#isZoneOpen(server) ? server : undefined;
  }

  ofService(service: string): readonly ServerRecord[] {
    return [...this.#serverRegistry.servers.values()].filter(
      (server) => server.service === service && server.phase === 'ready' && this.#isZoneOpen(server),
    );
  }

  /**
   * Time for which a server stays cold, in milliseconds, as announced. Servers may have become cold while their zone was
   * evacuated, and their announcement may still be on its way when it is taken back.
   */
  warmupMilliseconds({ id, service, availabilityZone }: ServerRecord): number {
    const announced = this.#serverRegistry.warmupMilliseconds(id);
    const sinceReturn = this.#evacuations.millisecondsSinceReturn(availabilityZone);
    const warmup = this.#services().get(service)?.coldStart?.warmupMilliseconds;
    return sinceReturn === undefined || warmup === undefined
      ? announced
      : Math.max(announced, warmup - sinceReturn);
  }

  /** Whether the availability zone of a server gets no requests at all. */
  isInClosedZone(id: string): boolean {
    const server = this.#serverRegistry.servers.get(id);
    return server !== undefined && this.#evacuations.phaseOf(server.availabilityZone) === 'closed';
  }

  /** Owners of keys still serve these while their zone is emptying, since nobody else can. */
  #isZoneOpen({ availabilityZone, service }: ServerRecord): boolean {
    switch (this.#evacuations.phaseOf(availabilityZone)) {
      case undefined:
        return true;
      case 'emptying':
        return this.#services().get(service)?.kind === 'keyed';
      case 'closed':
        return false;
    }
  }
}
