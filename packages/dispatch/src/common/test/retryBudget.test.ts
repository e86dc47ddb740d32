import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { RetryBudget } from '../retryBudget.js';

const SERVICE = 'circulation';
const STEP_MILLISECONDS = 100;
const SECONDS = 60;
const WINDOW_STEPS = 100;

interface Step {
  readonly requests: number;
  readonly retries: number;
}

/** Simulates entry VMs that retry whenever the budget allows, under a load that rises and falls. */
function simulate(entryVms: number, perSecond: number, baseRetries: number, seed: number): readonly Step[] {
  const clock = FakeTimers.install({ now: 0, toFake: ['performance'] });
  try {
    const random = new RandomSource(seed);
    const options = {
      retriesPerRequest: 0.2,
      baseRetriesPerWindow: baseRetries,
      windowMilliseconds: WINDOW_STEPS * STEP_MILLISECONDS,
    };
    const budgets = Array.from({ length: entryVms }, () => new RetryBudget(options, () => entryVms));
    const steps: Step[] = [];
    for (let step = 0; step < SECONDS * 10; step += 1) {
      const isBurst = Math.floor(step / 150) % 2 === 1;
      const requests = Math.round((perSecond / 10) * (isBurst ? 2 : 0.5) * (0.5 + random.fraction()));
      let retries = 0;
      for (let count = 0; count < requests; count += 1) {
        const budget = random.pick(budgets);
        budget.recordRequest(SERVICE);
        while (budget.tryTake(SERVICE)) {
          retries += 1;
        }
      }
      steps.push({ requests, retries });
      clock.tick(STEP_MILLISECONDS);
    }
    return steps;
  } finally {
    clock.uninstall();
  }
}

function sum(steps: readonly Step[], from: number, of: (step: Step) => number): number {
  return steps.slice(Math.max(0, from), from + WINDOW_STEPS).reduce((total, step) => total + of(step), 0);
}

/**
 * Largest number of retries in a window beyond the limit. The requests that count for the limit are those of
 * the same window, of the one that starts half a window earlier or of the one a whole window earlier.
 */
function worstExcess(steps: readonly Step[], baseRetries: number): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + WINDOW_STEPS <= steps.length; from += 1) {
    const requests = [from, from - WINDOW_STEPS / 2, from - WINDOW_STEPS].map((start) =>
      sum(steps, start, (step) => step.requests),
    );
    const allowed = 0.2 * Math.max(...requests) + baseRetries;
    worst = Math.max(worst, sum(steps, from, ({ retries }) => retries) - allowed);
  }
  return worst;
}

describe('the retry budget', () => {
  for (const { entryVms, perSecond, baseRetries } of [
    { entryVms: 1, perSecond: 20, baseRetries: 60 },
    { entryVms: 10, perSecond: 12, baseRetries: 60 },
    { entryVms: 12, perSecond: 600, baseRetries: 64 },
    { entryVms: 60, perSecond: 53, baseRetries: 160 },
    { entryVms: 89, perSecond: 1_000, baseRetries: 218 },
  ]) {
    it(`is not exceeded by ${entryVms.toString()} entry VMs with ${perSecond.toString()} requests per second`, () => {
      for (const seed of [1, 2, 3]) {
        const excess = worstExcess(simulate(entryVms, perSecond, baseRetries, seed), baseRetries);
        assert.ok(excess <= 0, `${excess.toFixed(1)} retries over the limit (seed ${seed.toString()})`);
      }
    });
  }

  it('is mostly used while servers keep refusing requests', () => {
    const steps = simulate(60, 355, 160, 1);
    const late = steps.slice(2 * WINDOW_STEPS);
    const allowed = late.reduce((total, { requests }) => total + 0.2 * requests, 0) + 4 * 160;
    const used = late.reduce((total, { retries }) => total + retries, 0);
    assert.ok(used >= 0.7 * allowed, `${used.toString()} of ${allowed.toFixed(0)}`);
  });
});
