import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { ServiceMetrics } from '@hickoryhoist/gateway/common/serviceMetrics.js';
import type { EntryVmControl } from '@hickoryhoist/ownership/common/entryVmControl.js';
import type { GroupControl } from '@hickoryhoist/ownership/common/groupControl.js';
import type { Assignment, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import type { EntryVmSettings } from '../common/entryVmSettings.js';
import type { EntryVmStatus, GroupStatus } from '../common/entryVmStatus.js';

const NANOSECONDS_PER_MILLISECOND = 1e6;
const PERCENTILE_99 = 99;

/** The part of the status that comes from the gateway. */
export type GatewayState = Pick<EntryVmStatus, 'isReady' | 'inFlight'>;

/** Collects the status of an entry VM for its operator port. */
export class StatusReader {
  readonly #settings: EntryVmSettings;
  readonly #control: EntryVmControl;
  readonly #metrics: ServiceMetrics;
  readonly #gatewayState: () => GatewayState;
  readonly #eventLoopDelay = monitorEventLoopDelay({ resolution: 10 });

  constructor(
    settings: EntryVmSettings,
    control: EntryVmControl,
    metrics: ServiceMetrics,
    gatewayState: () => GatewayState,
  ) {
    this.#settings = settings;
    this.#control = control;
    this.#metrics = metrics;
    this.#gatewayState = gatewayState;
    this.#eventLoopDelay.enable();
  }

  read(): EntryVmStatus {
    const { id, availabilityZone } = this.#settings;
    return {
      id,
      incarnation: this.#control.self.incarnation,
      availabilityZone,
      ...this.#gatewayState(),
      configurationRevision: this.#control.configuration.current?.revision ?? 0,
      eventLoopDelayP99Milliseconds:
        this.#eventLoopDelay.percentile(PERCENTILE_99) / NANOSECONDS_PER_MILLISECOND,
      residentBytes: process.memoryUsage.rss(),
      groups: this.#control.groups.map(groupStatus),
      services: [...this.#metrics.read()],
    };
  }
}

function groupStatus({ follower, assigner }: GroupControl): GroupStatus {
  const assignment = follower.assignment;
  const waitingByAddress = new Map(
    assigner?.serverStatus().map(({ server, waitingFor }) => [server.address, waitingFor]),
  );
  return {
    group: follower.group,
    revision: assignment?.revision ?? 0,
    term: follower.term,
    assigner: follower.assignerAddress ?? '',
    isAssigner: assigner !== undefined,
    hearsAssigner: follower.hearsAssigner,
    isStoreReachable: assigner?.isStoreReachable ?? follower.isStoreReachable,
    pins: assignment?.pins.length ?? 0,
    servers: (assignment?.servers ?? []).map((server) => ({
      ...serverStatus(server, assignment),
      waitingFor: [...(waitingByAddress.get(server.address) ?? [])],
    })),
  };
}

function serverStatus(
  server: ServerRecord,
  assignment: Assignment | undefined,
): Omit<GroupStatus['servers'][number], 'waitingFor'> {
  const owners = assignment?.owners ?? [];
  const releases = assignment?.releases ?? [];
  return {
    address: server.address,
    availabilityZone: server.availabilityZone,
    phase: server.phase,
    epoch: server.epoch,
    renewerFence: server.renewerFence,
    renewers: server.renewers.map(({ id }) => id),
    ownedUnits: owners.filter((owner) => owner === server.number).length,
    releasing: releases.filter(
      ({ unit }) => unit.unit.$case === 'slice' && owners[unit.unit.value] === server.number,
    ).length,
  };
}
