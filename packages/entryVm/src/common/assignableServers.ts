import {
  estimateProcessingTimes,
  type ProcessingTimeEstimate,
} from '@hickoryhoist/dispatch/common/processingTimes.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { AssignablePhase, RegisteredServer } from '@hickoryhoist/keyownership/common/keyAssigner.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { coldServerKeyBound } from './coldServerKeyBound.js';
import type { ServerRegistry } from './serverRegistry.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** The servers of keyed services as the assigner sees them: with their throughput, and what they may be given. */
export class AssignableServers {
  readonly #serverRegistry: ServerRegistry;
  readonly #evacuations: ZoneEvacuations;
  readonly #services: () => ReadonlyMap<string, RoutedService>;
  /** When the warm-up times end or ended that servers announced, by ID. */
  readonly #coldUntil = new Map<string, number>();

  constructor(
    serverRegistry: ServerRegistry,
    evacuations: ZoneEvacuations,
    services: () => ReadonlyMap<string, RoutedService>,
  ) {
    this.#serverRegistry = serverRegistry;
    this.#evacuations = evacuations;
    this.#services = services;
  }

  /** Servers of a service by ID. */
  ofService(
    service: string,
    processingTimes: ReadonlyMap<string, ProcessingTimeEstimate>,
  ): ReadonlyMap<string, RegisteredServer> {
    const servers = [...this.#serverRegistry.servers.values()].filter((server) => server.service === service);
    const milliseconds = estimateProcessingTimes(
      servers.map(({ id }) => id),
      processingTimes,
    );
    this.#forgetAbsentServers();
    return new Map(
      servers.map((server) => {
        const { id, incarnation, address, slots } = server;
        const processingMilliseconds = Math.max(1, milliseconds.get(id) ?? 1);
        const requestsPerSecond = (slots * 1_000) / processingMilliseconds;
        return [
          id,
          {
            id,
            incarnation,
            address,
            phase: this.#phaseOf(server),
            requestsPerSecond,
            processingMilliseconds,
            maxReceivedRequestsPerSecond: this.#maxReceivedRate(server, requestsPerSecond),
          },
        ];
      }),
    );
  }

  #phaseOf({ phase, availabilityZone }: ServerRecord): AssignablePhase {
    switch (phase) {
      case 'leaving':
        return 'leaving';
      case 'ready':
        return this.#evacuations.phaseOf(availabilityZone) === undefined ? 'ready' : 'evacuated';
    }
  }

  #maxReceivedRate(server: ServerRecord, requestsPerSecond: number): number | undefined {
    const coldStart = this.#services().get(server.service)?.coldStart;
    if (coldStart === undefined) {
      return undefined;
    }
    const sinceCold = Math.min(
      this.#millisecondsSinceStart(server, coldStart.warmupMilliseconds),
      // Servers may become cold while their zone is evacuated.
      this.#evacuations.millisecondsSinceReturn(server.availabilityZone) ?? Number.POSITIVE_INFINITY,
    );
    return sinceCold === Number.POSITIVE_INFINITY
      ? undefined
      : coldServerKeyBound(coldStart, sinceCold, requestsPerSecond);
  }

  /** Time since a server became cold, judged by the warm-up time that it announced; infinite if it announced none. */
  #millisecondsSinceStart({ id }: ServerRecord, warmupMilliseconds: number): number {
    const now = performance.now();
    const remaining = this.#serverRegistry.warmupMilliseconds(id);
    if (remaining > 0) {
      this.#coldUntil.set(id, now + remaining);
    }
    const coldUntil = this.#coldUntil.get(id);
    return coldUntil === undefined ? Number.POSITIVE_INFINITY : warmupMilliseconds + now - coldUntil;
  }

  #forgetAbsentServers(): void {
    for (const id of this.#coldUntil.keys()) {
      if (!this.#serverRegistry.servers.has(id)) {
        this.#coldUntil.delete(id);
      }
    }
  }
}
