import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { SlotRequest } from '../slotRequest.js';
import { type SchedulableServer, type SlotDecision, SlotScheduler } from '../slotScheduler.js';
import type { StatedLoad } from '../serverStatements.js';
import { StatedLoadEstimate } from '../statedLoadEstimate.js';

const idle: StatedLoad = { running: 0, waiting: 0, slots: 6, workFactor: 1 };

function createServer(id: string): SchedulableServer {
  return { id, incarnation: 1, availabilityZone: 'zone-1', slots: 6, warmupMilliseconds: 0 };
}

function createRequest(id: string, serverId?: string): SlotRequest {
  return {
    id,
    serverId,
    excludedIds: [],
    availabilityZone: 'zone-1',
    rank: 1,
    bodyBytes: 0,
    goalAt: 10_000,
    deadlineAt: 10_000,
  };
}

describe('the load that servers state', () => {
  it('is relative to the usual load and fades within half a second', () => {
    const estimate = new StatedLoadEstimate();
    estimate.record({ ...idle, workFactor: 3 }, 0, 1_000);
    assert.ok(estimate.relativeWorkFactor(1_000) > 2.5);
    const later = estimate.relativeWorkFactor(1_250);
    assert.ok(later > 1 && later < 2);
    assert.is(estimate.relativeWorkFactor(1_600), 1);
    for (let now = 2_000; now < 12_000; now += 100) {
      estimate.record({ ...idle, workFactor: 3 }, 0, now);
    }
    assert.ok(Math.abs(estimate.relativeWorkFactor(11_900) - 1) < 0.05);
  });

  it('counts requests that were not sent from here', () => {
    const estimate = new StatedLoadEstimate();
    estimate.record({ ...idle, running: 5, waiting: 3 }, 2, 0);
    assert.is(estimate.otherRequests(0), 5);
    estimate.record({ ...idle, running: 2 }, 2, 100);
    assert.is(estimate.otherRequests(100), 0);
  });

  it('keeps two coordinators that send to the same server from filling its queue', () => {
    const meanQueued = (statesLoad: boolean): number => {
      const schedulers = [new SlotScheduler(), new SlotScheduler()];
      schedulers.forEach((scheduler) => scheduler.setServers([createServer('a')], 0));
      const running: { id: string; scheduler: SlotScheduler; endsAt: number }[] = [];
      const apply = (scheduler: SlotScheduler, decisions: readonly SlotDecision[], now: number): void => {
        for (const decision of decisions) {
          if (decision.kind === 'granted') {
            running.push({
              id: decision.slotRequestId,
              scheduler,
              endsAt: now + 150 + 30 * (running.length % 11),
            });
          }
        }
      };
      let total = 0;
      for (let now = 0; now < 5_000; now += 10) {
        for (const ended of running.filter(({ endsAt }) => endsAt <= now)) {
          running.splice(running.indexOf(ended), 1);
          const load = {
            ...idle,
            running: Math.min(6, running.length),
            waiting: Math.max(0, running.length - 6),
          };
          const statement = { requestsPerSecond: undefined, ...(statesLoad ? { load } : {}) };
          apply(ended.scheduler, ended.scheduler.finish(ended.id, 'answered', now, statement), now);
        }
        schedulers.forEach((scheduler, index) => {
          const request = createRequest(`${index.toString()}-${now.toString()}`, 'a');
          apply(
            scheduler,
            scheduler.submit({ ...request, goalAt: now + 1_000, deadlineAt: now + 6_000 }, now),
            now,
          );
        });
        total += now >= 1_000 ? Math.max(0, running.length - 6) : 0;
      }
      return total / 400;
    };
    assert.ok(meanQueued(false) > 7, meanQueued(false).toString());
    assert.ok(meanQueued(true) < 4, meanQueued(true).toString());
  });

  it('sends the next request elsewhere, and moves no keys', () => {
    const scheduler = new SlotScheduler();
    scheduler.setServers([createServer('a'), createServer('b')], 0);
    const choose = (id: string, now: number): string | undefined => {
      const [decision] = scheduler.submit(createRequest(id), now);
      scheduler.finish(id, 'cancelled', now);
      return decision?.kind === 'granted' ? decision.serverId : undefined;
    };
    scheduler.submit(createRequest('1', 'a'), 0);
    scheduler.finish('1', 'answered', 100, {
      requestsPerSecond: undefined,
      load: { ...idle, workFactor: 3 },
    });
    const times = scheduler.processingTimes(100);
    assert.is(choose('2', 110), 'b');
    assert.equal(scheduler.processingTimes(110).get('a'), times.get('a'));
    assert.is(choose('3', 700), 'a');
  });
});
