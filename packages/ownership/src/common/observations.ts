import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { EntryVm, Unit } from '@hickoryhoist/protocol/common/assignment.js';

/** A server that should be in the group according to the service file or the platform's VM list. */
export interface DesiredServer {
  readonly address: string;
  readonly availabilityZone: string;
  /** The server is about to stop and must release everything that it owns. */
  readonly isLeaving: boolean;
  /** Entry VM that runs the server, in the group whose servers are the entry VMs themselves. */
  readonly entryVmId?: string;
}

/** State of a server as known to the assigner from its own commands and from the reports of the renewers. */
export interface ServerObservation {
  readonly address: string;
  readonly incarnation: string;
  readonly fenceSupport: 'checked' | 'unchecked';
  readonly isLeaving: boolean;
  /** The server responded to this assigner or to one of its renewers within the suspicion timeout. */
  readonly isReachable: boolean;
  /** The server has responded neither to this assigner nor to its renewers within the suspicion timeout. */
  readonly isSuspected: boolean;
  /**
   * Newest revision whose grant the server has acknowledged. Without fencing support, newest revision such that no
   * gateway still acts on an older one.
   */
  readonly acknowledgedRevision: number;
  /** Hashes of keys that the acknowledged grant no longer contains but that still have requests in flight. */
  readonly drainingKeys: readonly string[];
  /** Renewer fence that the server has adopted in its current epoch, or 0. */
  readonly adoptedRenewerFence: number;
  /** Renewer fence whose revocation has begun, or 0. */
  readonly revokingFence: number;
  /** Renewer fence under which no renewal can still be valid, or 0. */
  readonly expiredFence: number;
}

/** An entry VM whose follower is connected to the assigner. */
export interface Member {
  readonly entryVm: EntryVm;
  readonly isLeaving: boolean;
}

/** Load of a group over the last interval, from the reports of the gateways. */
export interface GroupLoad {
  /** Work of the whole group, in busy milliseconds per second. */
  readonly total: number;
  /** Work per slice without pinned keys, in busy milliseconds per second. */
  readonly slices: ReadonlyMap<number, number>;
  /** Work per hot key, in busy milliseconds per second. */
  readonly keys: ReadonlyMap<string, number>;
  /** Relative speed of each server by address; 1 is the mean. */
  readonly speeds: ReadonlyMap<string, number>;
}

/** Input of a planning step in addition to the current assignment. */
export interface Observations {
  readonly desiredServers: readonly DesiredServer[];
  readonly servers: ReadonlyMap<string, ServerObservation>;
  readonly members: readonly Member[];
  /** Entry VM that runs the assigner. */
  readonly assignerId: string;
  readonly load: GroupLoad;
  /** Whether the assigner has run for long enough that every follower should have connected. */
  readonly isStartupComplete: boolean;
}

/** Whether a server has released a unit, given the revision that started the release. */
export function hasReleased(
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
