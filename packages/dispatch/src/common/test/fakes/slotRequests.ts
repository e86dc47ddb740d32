import type { SchedulableServer } from '../../schedulableServers.js';
import type { SlotRequest } from '../../slotRequest.js';

/** A warm server with two slots. */
export function schedulableServer(id: string, overrides: Partial<SchedulableServer> = {}): SchedulableServer {
  return {
    id,
    incarnation: 1,
    availabilityZone: 'zone-1',
    slots: 2,
    warmupMilliseconds: 0,
    ...overrides,
  };
}

/** A request that any server can run, with a goal 1 s after the start of the clock. */
export function slotRequest(id: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return {
    id,
    serverId: undefined,
    excludedIds: [],
    availabilityZone: 'zone-1',
    rank: 1,
    bodyBytes: 0,
    goalAt: 1_000,
    deadlineAt: 3_000,
    ...overrides,
  };
}
