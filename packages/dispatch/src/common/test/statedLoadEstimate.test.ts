import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { SlotRequest } from '../slotRequest.js';
import { SlotScheduler } from '../slotScheduler.js';
import type { StatedLoad } from '../serverStatements.js';
import { StatedLoadEstimate } from '../statedLoadEstimate.js';
import { schedulableServer, slotRequest } from './fakes/slotRequests.js';

const idle: StatedLoad = { running: 0, waiting: 0, slots: 6, workFactor: 1 };

function createRequest(id: string, serverId?: string): SlotRequest {
  return slotRequest(id, { serverId, goalAt: 10_000, deadlineAt: 10_000 });
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

  it('sends the next request elsewhere, and moves no keys', () => {
    const scheduler = new SlotScheduler();
    scheduler.setServers(
      ['a', 'b'].map((id) => schedulableServer(id, { slots: 6 })),
      0,
    );
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
