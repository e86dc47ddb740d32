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
  readonly repeats: number;
}

/** Entry VMs that send every request once more whenever they may, while the load rises and falls. */
function play(entryVms: number, perSecond: number, extra: number, seed: number): readonly Step[] {
  const clock = FakeTimers.install({ now: 0, toFake: ['performance'] });
  try {
    const random = new RandomSource(seed);
    const options = {
      retriesPerRequest: 0.2,
      baseRetriesPerWindow: extra,
      windowMilliseconds: WINDOW_STEPS * STEP_MILLISECONDS,
    };
    const allowances = Array.from({ length: entryVms }, () => new RetryBudget(options, () => entryVms));
    const steps: Step[] = [];
    for (let step = 0; step < SECONDS * 10; step += 1) {
      const isBurst = Math.floor(step / 150) % 2 === 1;
      const requests = Math.round((perSecond / 10) * (isBurst ? 2 : 0.5) * (0.5 + random.fraction()));
      let repeats = 0;
      for (let count = 0; count < requests; count += 1) {
        const allowance = random.pick(allowances);
        allowance.recordRequest(SERVICE);
        while (allowance.tryTake(SERVICE)) {
          repeats += 1;
        }
      }
      steps.push({ requests, repeats });
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

/** Repeats of each window beyond what the requests of it, of half a window before or of one before it allow. */
function worstExcess(steps: readonly Step[], extra: number): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + WINDOW_STEPS <= steps.length; from += 1) {
    const requests = [from, from - WINDOW_STEPS / 2, from - WINDOW_STEPS].map((start) =>
      sum(steps, start, (step) => step.requests),
    );
    const allowed = 0.2 * Math.max(...requests) + extra;
    worst = Math.max(worst, sum(steps, from, ({ repeats }) => repeats) - allowed);
  }
  return worst;
}

describe('the allowance for sending again', () => {
  for (const { entryVms, perSecond, extra } of [
    { entryVms: 1, perSecond: 20, extra: 60 },
    { entryVms: 10, perSecond: 12, extra: 60 },
    { entryVms: 12, perSecond: 600, extra: 64 },
    { entryVms: 60, perSecond: 53, extra: 160 },
    { entryVms: 89, perSecond: 1_000, extra: 218 },
  ]) {
    it(`is kept over ${entryVms.toString()} entry VMs and ${perSecond.toString()} requests a second`, () => {
      for (const seed of [1, 2, 3]) {
        const excess = worstExcess(play(entryVms, perSecond, extra, seed), extra);
        assert.ok(excess <= 0, `${excess.toFixed(1)} too many (seed ${seed.toString()})`);
      }
    });
  }

  it('is used for the most part while servers turn requests away for long', () => {
    const steps = play(60, 355, 160, 1);
    const late = steps.slice(2 * WINDOW_STEPS);
    const allowed = late.reduce((total, { requests }) => total + 0.2 * requests, 0) + 4 * 160;
    const used = late.reduce((total, { repeats }) => total + repeats, 0);
    assert.ok(used >= 0.7 * allowed, `${used.toString()} of ${allowed.toFixed(0)}`);
  });
});
