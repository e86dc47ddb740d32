import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { SlotRequest } from '../slotRequest.js';
import { type SchedulableServer, type SlotDecision, SlotScheduler } from '../slotScheduler.js';
import { slotRequest } from './fakes/slotRequests.js';

/** The users' rule: in any 4 s at most one and a half times what the limit allows, and 5 more. */
const WINDOW_MILLISECONDS = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
/** Time after the first statement from which on the rule holds. */
const CONTACT_MILLISECONDS = 3_000;
const TICK_MILLISECONDS = 50;
const server: SchedulableServer = {
  id: 'limited',
  incarnation: 1,
  availabilityZone: 'zone-1',
  slots: 2,
  warmupMilliseconds: 0,
};
const other: SchedulableServer = { ...server, id: 'other' };

interface Load {
  /** Interval between the requests of callers, in milliseconds. */
  readonly arrivalMilliseconds: number;
  readonly workMilliseconds: number;
  /** The rate that the server names from 2 s on. */
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** When another scheduler takes over, as when a coordinator stops; in milliseconds. */
  readonly takeOverAt?: number;
  readonly isKeyed: boolean;
}

/** A request with 600 ms to its goal and 2,500 ms to its deadline. */
function createRequest(id: string, now: number, isKeyed = true): SlotRequest {
  return slotRequest(id, {
    serverId: isKeyed ? server.id : undefined,
    goalAt: now + 600,
    deadlineAt: now + 2_500,
  });
}

/** Plays callers that press on a server with a limit. @returns the times at which it got requests. */
function play(load: Load): readonly number[] {
  const starts: number[] = [];
  const running: { id: string; endsAt: number; scheduler: SlotScheduler }[] = [];
  const create = (now: number): SlotScheduler => {
    const created = new SlotScheduler();
    created.setServers(load.isKeyed ? [server, other] : [server], now);
    return created;
  };
  let scheduler = create(0);
  const apply = (decisions: readonly SlotDecision[], now: number): void => {
    for (const decision of decisions) {
      if (decision.kind === 'granted') {
        starts.push(now);
        running.push({ id: decision.slotRequestId, endsAt: now + load.workMilliseconds, scheduler });
      }
    }
  };
  let nextArrivalAt = 0;
  for (let now = 0; now < load.seconds * 1_000; now += 10) {
    if (load.takeOverAt === now) {
      scheduler = create(now);
    }
    for (const ended of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(ended), 1);
      const requestsPerSecond = now >= 2_000 ? load.requestsPerSecond : undefined;
      apply(ended.scheduler.finish(ended.id, 'answered', now, { requestsPerSecond }), now);
    }
    for (; nextArrivalAt <= now; nextArrivalAt += load.arrivalMilliseconds) {
      const request = createRequest(`request-${nextArrivalAt.toString()}`, now, load.isKeyed);
      apply(scheduler.submit(request, now), now);
    }
    if (now % TICK_MILLISECONDS === 0) {
      apply(scheduler.tick(now), now);
    }
  }
  return starts;
}

/** Highest number of requests beyond what the rule allows in any window; negative if all are within it. */
function excess(starts: readonly number[], requestsPerSecond: number): number {
  const allowed = (ALLOWED_FACTOR * requestsPerSecond * WINDOW_MILLISECONDS) / 1_000 + ALLOWED_EXTRA;
  const counted = starts.filter((at) => at >= 2_000 + CONTACT_MILLISECONDS);
  return Math.max(
    ...counted.map(
      (from) => counted.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length - allowed,
    ),
    -allowed,
  );
}

function refusalOf(decision: SlotDecision): string | undefined {
  return decision.kind === 'refused' ? decision.refusal : undefined;
}

function retryAfterOf(decision: SlotDecision): number {
  return decision.kind === 'refused' ? decision.retryAfterMilliseconds : 0;
}

const pressing: Load = {
  arrivalMilliseconds: 60,
  workMilliseconds: 200,
  requestsPerSecond: 2,
  seconds: 20,
  isKeyed: true,
};

describe('a server that names a limit', () => {
  for (const isKeyed of [true, false]) {
    it(`gets no more than the limit allows while callers press on, ${isKeyed ? 'with' : 'without'} keys`, () => {
      const starts = play({ ...pressing, isKeyed });
      assert.ok(excess(starts, pressing.requestsPerSecond) <= 0, starts.join());
    });
  }

  it('gets nearly as much as the limit allows', () => {
    const late = play(pressing).filter((at) => at >= 10_000);
    assert.ok(late.length >= 0.9 * 10 * pressing.requestsPerSecond, late.length.toString());
  });

  it('gets no more than the limit allows when another coordinator takes over', () => {
    for (let takeOverAt = 6_000; takeOverAt < 8_000; takeOverAt += 250) {
      const starts = play({ ...pressing, takeOverAt });
      assert.ok(excess(starts, pressing.requestsPerSecond) <= 0, takeOverAt.toString());
    }
  });

  it('gets no more than any limit allows under any load', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 10, max: 400 }),
        fc.integer({ min: 20, max: 900 }),
        fc.double({ min: 0, max: 30, noNaN: true }),
        fc.boolean(),
        fc.option(fc.integer({ min: 600, max: 1_200 }).map((at) => at * 10)),
        (arrivalMilliseconds, workMilliseconds, requestsPerSecond, isKeyed, takeOverAt) => {
          const load = { arrivalMilliseconds, workMilliseconds, requestsPerSecond, isKeyed, seconds: 16 };
          const starts = play(takeOverAt === null ? load : { ...load, takeOverAt });
          assert.ok(excess(starts, requestsPerSecond) <= 0);
        },
      ),
      { seed: 27, numRuns: 60 },
    );
  });

  it('has the rest refused at once, with a time to return that follows from the limit', () => {
    const scheduler = new SlotScheduler();
    scheduler.setServers([server], 0);
    scheduler.recordRate(server.id, { requestsPerSecond: 1 }, 0);
    assert.is(scheduler.submit(createRequest('a', 1_000), 1_000)[0]?.kind, 'granted');
    const [decision] = scheduler.submit(createRequest('b', 1_000), 1_000);
    assert.ok(decision);
    assert.is(refusalOf(decision), 'overloaded');
    assert.ok(retryAfterOf(decision) >= 1_000);
  });

  it('gets requests as before once its responses name none', () => {
    const scheduler = new SlotScheduler();
    scheduler.setServers([server], 0);
    scheduler.recordRate(server.id, { requestsPerSecond: 0.5 }, 0);
    scheduler.recordRate(server.id, { requestsPerSecond: undefined }, 300);
    // A response that was overtaken by one with the limit does not end it.
    assert.is(scheduler.submit(createRequest('a', 400), 400)[0]?.kind, 'refused');
    scheduler.recordRate(server.id, { requestsPerSecond: undefined }, 1_000);
    for (const id of ['b', 'c', 'd']) {
      assert.is(scheduler.submit(createRequest(id, 1_000), 1_000)[0]?.kind, 'granted');
    }
  });
});
