import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { KeyDemand } from '../keyDemand.js';
import { type SlotDecision, SlotScheduler } from '../slotScheduler.js';
import { schedulableServer, slotRequest } from './fakes/slotRequests.js';

const SLOTS = 4;
const WORK_MILLISECONDS = 100;
const GOAL_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 2_000;
const STEP_MILLISECONDS = 5;
const HOT_KEY = 0;
/** Requests a second: 40 are served. Eight others a second are a fifth of the capacity. */
const HOT_REQUESTS_PER_SECOND = 300;
const OTHER_REQUESTS_PER_SECOND = 8;
const SURGE_MILLISECONDS = 5_000;
/** Time after which the demand for the hot key has to be known. */
const KNOWN_AFTER_MILLISECONDS = 200;

interface Tally {
  offered: number;
  inTime: number;
  served: number;
  refused: number;
}

/** Replays a surge for one key of a server that owns others, too. */
function replaySurge(seed: number, isKeySent: boolean): { hot: Tally; others: Tally } {
  const random = new RandomSource(seed);
  const scheduler = new SlotScheduler();
  scheduler.setServers([schedulableServer('owner', { slots: SLOTS })], 0);
  const hot: Tally = { offered: 0, inTime: 0, served: 0, refused: 0 };
  const others: Tally = { offered: 0, inTime: 0, served: 0, refused: 0 };
  const requests = new Map<string, { tally: Tally; goalAt: number }>();
  const atServer: { id: string; endsAt: number | undefined }[] = [];
  const apply = (decisions: readonly SlotDecision[]): void => {
    for (const { kind, slotRequestId } of decisions) {
      if (kind === 'granted') {
        atServer.push({ id: slotRequestId, endsAt: undefined });
      } else {
        const tally = requests.get(slotRequestId)?.tally ?? others;
        tally.refused += 1;
      }
    }
  };
  const submit = (key: number, tally: Tally, now: number): void => {
    const goalAt = now + GOAL_MILLISECONDS;
    const request = slotRequest(requests.size.toString(), {
      serverId: 'owner',
      key: isKeySent ? key : undefined,
      goalAt,
      deadlineAt: now + DEADLINE_MILLISECONDS,
    });
    tally.offered += 1;
    requests.set(request.id, { tally, goalAt });
    apply(scheduler.submit(request, now));
  };
  for (let now = 0; now < SURGE_MILLISECONDS + DEADLINE_MILLISECONDS; now += STEP_MILLISECONDS) {
    for (const ended of atServer.filter(({ endsAt }) => endsAt !== undefined && endsAt <= now)) {
      atServer.splice(atServer.indexOf(ended), 1);
      const { tally, goalAt } = requests.get(ended.id) ?? { tally: others, goalAt: 0 };
      tally.served += 1;
      tally.inTime += now <= goalAt ? 1 : 0;
      apply(scheduler.finish(ended.id, 'answered', now));
    }
    if (now < SURGE_MILLISECONDS) {
      for (let count = 0; count < HOT_REQUESTS_PER_SECOND * (STEP_MILLISECONDS / 1_000); count += 1) {
        submit(HOT_KEY, hot, now);
      }
      const isKnown = now >= KNOWN_AFTER_MILLISECONDS;
      if (isKnown && random.fraction() < OTHER_REQUESTS_PER_SECOND * (STEP_MILLISECONDS / 1_000)) {
        submit(random.integer(1, 1_000), others, now);
      }
    }
    apply(now % 50 === 0 ? scheduler.tick(now) : []);
    for (const next of atServer.slice(0, SLOTS)) {
      // The sum of two exponential times, so that single requests take much longer than the mean.
      next.endsAt ??=
        now + random.exponential(WORK_MILLISECONDS / 2) + random.exponential(WORK_MILLISECONDS / 2);
    }
  }
  return { hot, others };
}

describe('requests for the other keys of a server with a hot key', () => {
  for (const seed of [1, 2, 3]) {
    it(`are not refused once its demand is known, while as many for the hot key are served (seed ${seed.toString()})`, () => {
      const before = replaySurge(seed, false);
      const { hot, others } = replaySurge(seed, true);
      assert.ok(before.others.refused >= 0.3 * before.others.offered, 'refused without keys');
      assert.is(others.refused, 0);
      assert.ok(
        hot.served + others.served >= 0.95 * (before.hot.served + before.others.served),
        `${hot.served.toString()} and ${others.served.toString()} served`,
      );
      assert.ok(hot.inTime + others.inTime > before.hot.inTime + before.others.inTime);
    });
  }
});

describe('the fair share of a key', () => {
  const REQUESTS_PER_MILLISECOND = 0.02;

  it('is not exceeded by any key while the server has room', () => {
    const demand = new KeyDemand();
    for (let now = 0; now < 3_000; now += 100) {
      assert.is(demand.record(1, REQUESTS_PER_MILLISECOND, now), 'within');
    }
  });

  it('is not exceeded by keys that together ask for too much, but none of them for much', () => {
    const demand = new KeyDemand();
    for (let now = 0; now < 3_000; now += 10) {
      assert.is(demand.record((now / 10) % 60, REQUESTS_PER_MILLISECOND, now), 'within');
    }
  });

  it('is exceeded by a hot key until the surge is over', () => {
    const demand = new KeyDemand();
    for (let now = 0; now < 1_000; now += 5) {
      demand.record(1, REQUESTS_PER_MILLISECOND, now);
    }
    assert.is(demand.record(1, REQUESTS_PER_MILLISECOND, 1_000), 'above');
    assert.is(demand.record(2, REQUESTS_PER_MILLISECOND, 1_000), 'within');
    assert.is(demand.record(1, REQUESTS_PER_MILLISECOND, 4_000), 'within');
  });
});
