import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { type SchedulableServer, SlotScheduler } from '@hickoryhoist/dispatch/common/slotScheduler.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CallerWaitEstimator } from '../callerWaitEstimator.js';

const ROUTE = 'lookups';
const TIMEOUT_MILLISECONDS = 4_000;
/** First attempts have timeouts from 85 to 100 % of the longest one. */
const SPREAD = 0.15;
const GOAL_MILLISECONDS = 600;

function firstTimeout(random: RandomSource): number {
  return TIMEOUT_MILLISECONDS * (1 - SPREAD * random.fraction());
}

/** The estimated wait of the last one of some timeouts. */
function waitAmong(timeouts: readonly number[]): number {
  const longest = Math.max(...timeouts);
  const median = [...timeouts].sort((left, right) => left - right)[timeouts.length >> 1] ?? 0;
  const spread = Math.min(timeouts.length < 8 ? longest : 2 * (longest - median), longest / 4);
  const last = timeouts.at(-1) ?? 0;
  return last >= longest - spread ? 0 : longest - spread / 2 - last;
}

describe('CallerWaitEstimator', () => {
  it('takes nearly all first attempts for first attempts, although their timeouts differ', () => {
    const estimator = new CallerWaitEstimator();
    const random = new RandomSource(1);
    let firstCount = 0;
    for (let request = 0; request < 1_000; request += 1) {
      const waited = estimator.record(ROUTE, firstTimeout(random));
      assert.ok(waited < 0.2 * TIMEOUT_MILLISECONDS, `waited ${waited.toString()}`);
      firstCount += waited === 0 ? 1 : 0;
    }
    assert.ok(firstCount >= 900, `${firstCount.toString()} of 1000 first attempts`);
  });

  it('estimates the wait of callers that return', () => {
    const estimator = new CallerWaitEstimator();
    const random = new RandomSource(2);
    for (let request = 0; request < 1_000; request += 1) {
      estimator.record(ROUTE, firstTimeout(random));
      if (request % 4 === 0) {
        const waited = 1_500;
        const estimate = estimator.record(ROUTE, firstTimeout(random) - waited);
        assert.ok(
          Math.abs(estimate - waited) < SPREAD * TIMEOUT_MILLISECONDS,
          `estimate ${estimate.toString()}`,
        );
      }
    }
  });

  it('recognizes a caller that returns after most of its timeout, from the second request on', () => {
    const estimator = new CallerWaitEstimator();
    assert.is(estimator.record(ROUTE, TIMEOUT_MILLISECONDS), 0);
    assert.ok(estimator.record(ROUTE, 1_000) > 2_000);
  });

  it('estimates the same as from all the last 64 timeouts', () => {
    const timeouts = fc.array(
      fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: 30_000 })),
      {
        maxLength: 200,
      },
    );
    fc.assert(
      fc.property(timeouts, (all) => {
        const estimator = new CallerWaitEstimator();
        all.forEach((timeout, index) => {
          assert.is(estimator.record(ROUTE, timeout), waitAmong(all.slice(0, index + 1).slice(-64)));
        });
      }),
      { numRuns: 200, seed: 1 },
    );
  });

  it('keeps routes apart', () => {
    const estimator = new CallerWaitEstimator();
    estimator.record(ROUTE, TIMEOUT_MILLISECONDS);
    assert.is(estimator.record('bookings', 1_000), 0);
  });

  it('still takes new callers for first attempts while half of all requests are returns', () => {
    const estimator = new CallerWaitEstimator();
    const random = new RandomSource(3);
    let firstCount = 0;
    for (let request = 0; request < 1_000; request += 1) {
      firstCount += estimator.record(ROUTE, firstTimeout(random)) === 0 ? 1 : 0;
      estimator.record(ROUTE, firstTimeout(random) * (0.3 + 0.4 * random.fraction()));
    }
    assert.ok(firstCount >= 900, `${firstCount.toString()} of 1000 first attempts`);
  });
});

describe('callers with different timeouts at servers that are busy for 70 % of the time', () => {
  it('are refused rarely, and almost all are served within their goals', () => {
    const { served, refused } = replay(4);
    assert.ok(
      refused <= 0.03 * (served + refused),
      `refused ${refused.toString()}, served ${served.toString()}`,
    );
  });
});

/** Replays 60 s of requests that the owner of their keys serves, with three slots and 200 ms each. */
function replay(seed: number): { served: number; refused: number } {
  const workMilliseconds = 200;
  const requestsPerSecond = (0.7 * 3 * 1_000) / workMilliseconds;
  const random = new RandomSource(seed);
  const estimator = new CallerWaitEstimator();
  const scheduler = new SlotScheduler();
  const server: SchedulableServer = {
    id: 'owner',
    incarnation: 1,
    availabilityZone: 'zone-1',
    slots: 3,
    warmupMilliseconds: 0,
  };
  scheduler.setServers([server], 0);
  /** Ends of the requests that the server runs, and requests queued at the server beyond its slots. */
  const ends: { id: string; at: number }[] = [];
  const queued: string[] = [];
  let served = 0;
  let refused = 0;
  const start = (id: string, now: number): void => {
    if (ends.length < server.slots) {
      ends.push({ id, at: now + workMilliseconds * (0.5 + random.fraction()) });
    } else {
      queued.push(id);
    }
  };
  const apply = (decisions: ReturnType<SlotScheduler['submit']>, now: number): void => {
    for (const { kind, slotRequestId } of decisions) {
      if (kind === 'granted') {
        start(slotRequestId, now);
      } else {
        refused += 1;
      }
    }
  };
  const finishUntil = (until: number): void => {
    for (;;) {
      ends.sort((left, right) => left.at - right.at);
      const [first] = ends;
      if (first === undefined || first.at > until) {
        return;
      }
      ends.shift();
      served += 1;
      const next = queued.shift();
      if (next !== undefined) {
        start(next, first.at);
      }
      apply(scheduler.finish(first.id, 'answered', first.at), first.at);
    }
  };
  for (let now = 0, id = 0; now < 60_000; now += random.exponential(1_000 / requestsPerSecond), id += 1) {
    finishUntil(now);
    const timeout = firstTimeout(random);
    const request = {
      id: id.toString(),
      serverId: 'owner',
      excludedIds: [],
      availabilityZone: 'zone-1',
      rank: 1,
      bodyBytes: 0,
      goalAt: now + GOAL_MILLISECONDS - estimator.record(ROUTE, timeout),
      deadlineAt: now + timeout,
    };
    apply(scheduler.submit(request, now), now);
  }
  return { served, refused };
}
