import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { costlyBytes, placementCost } from '../serverPlacement.js';
import { ServerPace } from '../serverPace.js';
import { ServerStatistics } from '../serverStatistics.js';
import { ServiceProcessingTimes } from '../serviceProcessingTimes.js';
import { SlotScheduler } from '../slotScheduler.js';
import type { SlotRequest } from '../slotRequest.js';
import { schedulableServer, slotRequest } from './fakes/slotRequests.js';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const SLOTS = 6;
const SERVERS_PER_ZONE = 3;
const ZONE_CAPACITY = SLOTS * SERVERS_PER_ZONE;

/** A service with servers in all zones; the name of a server begins with its zone. */
function createScheduler(zones = ZONES): SlotScheduler {
  const scheduler = new SlotScheduler();
  scheduler.setServers(
    zones.flatMap((availabilityZone) =>
      Array.from({ length: SERVERS_PER_ZONE }, (_, index) =>
        schedulableServer(`${availabilityZone}/${index.toString()}`, { availabilityZone, slots: SLOTS }),
      ),
    ),
    0,
  );
  return scheduler;
}

function pooledRequest(id: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return slotRequest(id, { responseBytes: 5_000, goalAt: 2_000, deadlineAt: 8_000, ...overrides });
}

/** Submits a number of requests. @returns the server of each, or how it was decided. */
function submitAll(scheduler: SlotScheduler, count: number, overrides: Partial<SlotRequest> = {}): string[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `${overrides.id ?? 'r'}-${index.toString()}`;
    const [decision] = scheduler.submit(pooledRequest('', { ...overrides, id }), 0);
    return decision?.kind === 'granted' ? decision.serverId : (decision?.kind ?? 'queued');
  });
}

function countIn(servers: readonly string[], zone: string): number {
  return servers.filter((server) => server.startsWith(zone)).length;
}

describe('pooled requests whose responses are costly to send between zones', () => {
  it('stay in their zone while it has room', () => {
    const scheduler = createScheduler();
    for (const zone of ZONES) {
      const servers = submitAll(scheduler, ZONE_CAPACITY / 2, { id: zone, availabilityZone: zone });
      assert.is(countIn(servers, zone), ZONE_CAPACITY / 2, servers.join(' '));
    }
  });

  it('cross at once when their zone is full', () => {
    const scheduler = createScheduler();
    const servers = submitAll(scheduler, ZONE_CAPACITY + 5);
    assert.is(countIn(servers.slice(0, ZONE_CAPACITY), 'zone-1'), ZONE_CAPACITY);
    assert.is(countIn(servers.slice(ZONE_CAPACITY), 'zone-1'), 0, servers.join(' '));
    assert.not.ok(servers.includes('queued'));
  });

  it('cross when their zone has no server', () => {
    const servers = submitAll(createScheduler(['zone-2', 'zone-3']), ZONE_CAPACITY);
    assert.is(countIn(servers, 'zone-2') + countIn(servers, 'zone-3'), ZONE_CAPACITY);
  });

  it('use all slots when all callers are in one zone', () => {
    const servers = submitAll(createScheduler(), ZONES.length * ZONE_CAPACITY);
    for (const zone of ZONES) {
      assert.is(countIn(servers, zone), ZONE_CAPACITY, servers.join(' '));
    }
  });

  it('cross when the servers of their zone would miss the goal', () => {
    const statisticsOf = (id: string, availabilityZone: string, milliseconds: number): ServerStatistics =>
      new ServerStatistics(
        schedulableServer(id, { availabilityZone, slots: SLOTS }),
        new ServiceProcessingTimes(milliseconds),
        0,
        new ServerPace(SLOTS, () => undefined),
      );
    const near = statisticsOf('near', 'zone-1', 200);
    const far = statisticsOf('far', 'zone-2', 100);
    const costs = (goalAt: number): readonly number[] =>
      [near, far].map((server) => placementCost(pooledRequest('r', { goalAt }), server, 0));
    const [nearWithTime = 0, farWithTime = 0] = costs(1_000);
    assert.ok(nearWithTime < farWithTime);
    const [nearInHaste = 0, farInHaste = 0] = costs(300);
    assert.ok(farInHaste < nearInHaste);
  });

  it('are those that take a millisecond on a link', () => {
    assert.is(costlyBytes(10), 1_250);
    assert.is(costlyBytes(750), 93_750);
  });
});

describe('pooled requests with small responses', () => {
  it('go to the server that is expected to finish first, in any zone', () => {
    const servers = submitAll(createScheduler(), ZONES.length * SERVERS_PER_ZONE, {
      responseBytes: undefined,
    });
    assert.is(new Set(servers).size, 9, servers.join(' '));
  });
});
