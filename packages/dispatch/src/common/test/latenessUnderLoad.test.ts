import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { SlotRequest } from '../slotRequest.js';
import { type SlotDecision, SlotScheduler } from '../slotScheduler.js';

const SLOTS = 6;
const MEAN_MILLISECONDS = 300;
const GOAL_MILLISECONDS = 1_000;
const SECONDS = 60;

interface Served {
  readonly inGoal: number;
  readonly late: number;
}

/** Plays callers that want more of one owner of keys than it can run, with processing times that differ widely. */
function play(seed: number, load: number): Served {
  const random = new RandomSource(seed);
  const scheduler = new SlotScheduler();
  scheduler.setServers(
    [{ id: 'owner', incarnation: 1, availabilityZone: 'a', slots: SLOTS, warmupMilliseconds: 0 }],
    0,
  );
  const running: { id: string; endsAt: number }[] = [];
  const goals = new Map<string, number>();
  let inGoal = 0;
  let late = 0;
  const apply = (decisions: readonly SlotDecision[], now: number): void => {
    for (const decision of decisions) {
      if (decision.kind === 'granted') {
        const slotAt =
          running.length < SLOTS ? now : Math.max(now, Math.min(...running.map(({ endsAt }) => endsAt)));
        const milliseconds = MEAN_MILLISECONDS * (random.fraction() < 0.2 ? 3 : 0.5);
        running.push({
          id: decision.slotRequestId,
          endsAt: slotAt + milliseconds * (0.5 + random.fraction()),
        });
      }
    }
  };
  let nextAt = 0;
  for (let now = 0; now < SECONDS * 1_000; now += 5) {
    for (const ended of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(ended), 1);
      if (now <= (goals.get(ended.id) ?? 0)) {
        inGoal += 1;
      } else {
        late += 1;
      }
      apply(scheduler.finish(ended.id, 'answered', now), now);
    }
    for (; nextAt <= now; nextAt += random.exponential(MEAN_MILLISECONDS / (SLOTS * load))) {
      const id = goals.size.toString();
      goals.set(id, now + GOAL_MILLISECONDS);
      const request: SlotRequest = {
        id,
        serverId: 'owner',
        excludedIds: [],
        availabilityZone: 'a',
        rank: 1,
        bodyBytes: 0,
        goalAt: now + GOAL_MILLISECONDS,
        deadlineAt: now + 6 * GOAL_MILLISECONDS,
      };
      apply(scheduler.submit(request, now), now);
    }
    if (now % 50 === 0) {
      apply(scheduler.tick(now), now);
    }
  }
  return { inGoal, late };
}

describe('an owner of keys that gets more than it can run', () => {
  for (const load of [1.1, 1.5, 3]) {
    it(`answers within the goal most of what it can run, at ${load.toString()} times its capacity`, () => {
      const results = [1, 2, 3].map((seed) => play(seed, load));
      const inGoal = results.reduce((sum, result) => sum + result.inGoal, 0);
      const late = results.reduce((sum, result) => sum + result.late, 0);
      const capacity = (results.length * SECONDS * 1_000 * SLOTS) / MEAN_MILLISECONDS;
      assert.ok(inGoal >= (2 / 3) * capacity, `${inGoal.toString()} in goal, ${late.toString()} late`);
      assert.ok(inGoal + late >= 0.85 * capacity, `${inGoal.toString()} in goal, ${late.toString()} late`);
    });
  }
});
