import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { EntryVm, Unit } from '@hickoryhoist/protocol/common/assignment.js';

/** A server that should be part of the group, from the service file or the platform's VM list. */
export interface DesiredServer {
  readonly address: string;
  readonly availabilityZone: string;
  /** The server is about to stop and must give up what it owns. */
  readonly isLeaving: boolean;
  /** Entry VM that runs the server, for the group whose servers are the entry VMs themselves. */
  readonly entryVmId?: string;
}

/** What the assigner learned of a server by its own orders and from the reports of the renewers. */
export interface ServerObservation {
  readonly address: string;
  readonly incarnation: string;
  readonly fenceSupport: 'checked' | 'unchecked';
  readonly isLeaving: boolean;
  /** The server answered an order of this assigner within the suspicion time. */
  readonly isReachable: boolean;
  /** The renewers' reports agree that the server has been silent for longer than the suspicion time. */
  readonly isSuspected: boolean;
  /** Newest revision whose grant the server acknowledged, or that all its gateways act on. */
  readonly acknowledgedRevision: number;
  /** Hashes of keys that the acknowledged grant took away and that still have requests in flight. */
  readonly drainingKeys: readonly string[];
  /** Highest renewer fence that the server is known to have adopted. */
  readonly adoptedRenewerFence: number;
  /** Renewer fence for which withdrawals have begun, or 0. */
  readonly revokingFence: number;
  /** Renewer fence for which every renewal has surely lapsed, or 0. */
  readonly expiredFence: number;
}

/** An entry VM whose follower is connected to the assigner. */
export interface Member {
  readonly entryVm: EntryVm;
  readonly isLeaving: boolean;
}

/** Load of a group over the newest interval, from the gateways' reports. */
export interface GroupLoad {
  /** Work of the whole group, in busy milliseconds per second. */
  readonly total: number;
  /** Work per slice without its pinned keys, in busy milliseconds per second. */
  readonly slices: ReadonlyMap<number, number>;
  /** Work per hot key, in busy milliseconds per second. */
  readonly keys: ReadonlyMap<string, number>;
  /** Relative speed of each server by address; 1 is the mean. */
  readonly speeds: ReadonlyMap<string, number>;
}

/** Everything that a planning step looks at besides the assignment itself. */
export interface Observations {
  readonly desiredServers: readonly DesiredServer[];
  readonly servers: ReadonlyMap<string, ServerObservation>;
  readonly members: readonly Member[];
  /** Entry VM that runs the assigner. */
  readonly assignerId: string;
  readonly load: GroupLoad;
  /** The assigner has held its term for long enough that every follower should have connected. */
  readonly isStartupComplete: boolean;
}

/** Whether a server has given up a unit whose release was decided in a revision. */
export function hasGivenUp(
  observation: ServerObservation,
  unit: Unit,
  sinceRevision: number,
  sliceCount: number,
): boolean {
  const isInUnit = (keyHash: string): boolean => {
    switch (unit.unit.$case) {
      case 'slice':
        return sliceOf(keyHash, sliceCount) === unit.unit.value;
      case 'pin':
        return keyHash === unit.unit.value;
    }
  };
  return observation.acknowledgedRevision >= sinceRevision && !observation.drainingKeys.some(isInUnit);
}
