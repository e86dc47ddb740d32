import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { coldStartBudget, ColdStartLimit } from '../coldStartLimit.js';
import type { SlotRequest } from '../slotRequest.js';
import { type SchedulableServer, type SlotDecision, SlotScheduler } from '../slotScheduler.js';
import { schedulableServer, slotRequest } from './fakes/slotRequests.js';

const bound = { factor: 1.5, slack: 8 };
const WARMUP_MILLISECONDS = 3_000;

function createServer(id: string, requestsPerSecond: number, warmupMilliseconds: number): SchedulableServer {
  const coldStart = coldStartBudget(requestsPerSecond, bound);
  return schedulableServer(id, { slots: 6, warmupMilliseconds, coldStart });
}

function createRequest(id: string, now: number, serverId: string | undefined): SlotRequest {
  return slotRequest(id, { serverId, goalAt: now + 1_000, deadlineAt: now + 6_000 });
}

/** Largest number of times within any second. */
function mostInOneSecond(times: readonly number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length));
}

/**
 * Plays callers that press on a cold server, whose requests pass from one coordinator to another and back.
 * @returns the times at which the server got requests.
 */
function play(requestsPerSecond: number, arrivalMilliseconds: number, switchMilliseconds: number): number[] {
  const starts: number[] = [];
  const schedulers = [new SlotScheduler(), new SlotScheduler()];
  schedulers.forEach((scheduler) =>
    scheduler.setServers([createServer('cold', requestsPerSecond, WARMUP_MILLISECONDS)], 0),
  );
  const running: { scheduler: SlotScheduler; id: string; endsAt: number }[] = [];
  const collect = (scheduler: SlotScheduler, decisions: readonly SlotDecision[], now: number): void => {
    for (const decision of decisions) {
      if (decision.kind === 'granted') {
        starts.push(now);
        running.push({ scheduler, id: decision.slotRequestId, endsAt: now + 50 });
      }
    }
  };
  let nextAt = 0;
  for (let now = 0; now < WARMUP_MILLISECONDS; now += 10) {
    const active = schedulers[Math.floor(now / switchMilliseconds) % 2];
    for (const ended of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(ended), 1);
      collect(ended.scheduler, ended.scheduler.finish(ended.id, 'answered', now), now);
    }
    for (; active !== undefined && nextAt <= now; nextAt += arrivalMilliseconds) {
      collect(active, active.submit(createRequest(nextAt.toString(), now, 'cold'), now), now);
    }
    schedulers.forEach((scheduler) => {
      collect(scheduler, now % 50 === 0 ? scheduler.tick(now) : [], now);
    });
  }
  return starts;
}

describe('cold start limit', () => {
  describe('a cold owner of keys that callers press on', () => {
    it('gets no more than the bound in any second, also while its coordinator changes', () => {
      fc.assert(
        fc.property(
          fc.double({ min: 1, max: 60, noNaN: true }),
          fc.integer({ min: 2, max: 100 }),
          fc.constantFrom(300, 700, 1_500, 10_000),
          (requestsPerSecond, arrivalMilliseconds, switchMilliseconds) => {
            const starts = play(requestsPerSecond, arrivalMilliseconds, switchMilliseconds);
            const allowed = requestsPerSecond * bound.factor + bound.slack;
            assert.ok(mostInOneSecond(starts) <= allowed, `${mostInOneSecond(starts).toString()} starts`);
          },
        ),
        { seed: 11, numRuns: 60 },
      );
    });

    it('gets the rate that it bears, and what it cannot serve in time is refused on arrival', () => {
      assert.ok(play(6.6, 20, 10_000).length >= 6.6 * 2.5);
      const scheduler = new SlotScheduler();
      scheduler.setServers([createServer('cold', 6.6, WARMUP_MILLISECONDS)], 0);
      const decisions = Array.from({ length: 40 }, (_unused, index) =>
        scheduler.submit(createRequest(index.toString(), 0, 'cold'), 0),
      ).flat();
      assert.ok(decisions.filter(({ kind }) => kind === 'refused').length >= 25);
    });
  });

  it('leaves requests that any server can run to the others', () => {
    const scheduler = new SlotScheduler();
    scheduler.setServers([createServer('cold', 6.6, WARMUP_MILLISECONDS), createServer('warm', 6.6, 0)], 0);
    const decisions = Array.from({ length: 7 }, (_unused, index) =>
      scheduler.submit(createRequest(index.toString(), 0, undefined), 0),
    ).flat();
    assert.equal(
      decisions.map((decision) => (decision.kind === 'granted' ? decision.serverId : decision.kind)),
      Array.from({ length: 7 }, () => 'warm'),
    );
  });

  it('holds again when a response says that the server is cold again, and ends with its warm-up', () => {
    const limit = new ColdStartLimit({ requestsPerSecond: 10, burst: 2 });
    assert.is(limit.available(1_000), Number.POSITIVE_INFINITY);
    limit.recordWarmup(500, 1_000);
    assert.is(limit.available(1_000), 0);
    assert.is(limit.available(1_150), 1);
    assert.is(limit.available(1_499), 2);
    assert.is(limit.available(1_500), Number.POSITIVE_INFINITY);
  });

  it('limits nothing where the service states no rate', () => {
    const limit = new ColdStartLimit(undefined);
    limit.recordWarmup(5_000, 0);
    assert.ok(limit.isCold(0));
    assert.is(limit.available(0), Number.POSITIVE_INFINITY);
    assert.is(limit.requestsPerSecond(0), undefined);
  });
});
