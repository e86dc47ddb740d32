import FakeTimers from '@sinonjs/fake-timers';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { FakeRegion, type FakeRegionOptions } from './fakeRegion.js';
import { OwnershipOracle } from './ownershipOracle.js';

const CHECK_PAUSE_MILLISECONDS = 10;
const START_MILLISECONDS = 6_000;

/** A running region under the test's clock. */
export interface RegionRun {
  readonly region: FakeRegion;
  readonly oracle: OwnershipOracle;
  /** Lets time pass while the oracle checks again and again. */
  advance(milliseconds: number, checkPauseMilliseconds?: number): Promise<void>;
}

/** Starts a region on a paused clock, runs a scenario and cleans up. */
export async function runRegion(
  options: Omit<FakeRegionOptions, 'hasher'>,
  scenario: (run: RegionRun) => Promise<void>,
): Promise<void> {
  const hasher = await KeyHasher.create();
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  const region = new FakeRegion({ ...options, hasher });
  const oracle = new OwnershipOracle(region, hasher, options.sliceCount);
  const advance = async (milliseconds: number, pause = CHECK_PAUSE_MILLISECONDS): Promise<void> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += pause) {
      await clock.tickAsync(pause);
      await oracle.check();
    }
  };
  try {
    const published = region.publish(undefined, region.service());
    await clock.tickAsync(100);
    await published;
    region.startAll();
    await advance(START_MILLISECONDS);
    oracle.resetUnowned();
    await scenario({ region, oracle, advance });
  } finally {
    region.dispose();
    clock.uninstall();
  }
}
