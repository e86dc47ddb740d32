import FakeTimers from '@sinonjs/fake-timers';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { FakeRegion, type FakeRegionOptions } from './fakeRegion.js';
import { OwnershipOracle } from './ownershipOracle.js';

const CHECK_INTERVAL_MILLISECONDS = 10;
const STARTUP_MILLISECONDS = 6_000;

/** A running region on a fake clock. */
export interface RegionRun {
  readonly region: FakeRegion;
  readonly oracle: OwnershipOracle;
  /** Advances the clock while the oracle checks the invariants at an interval. */
  advance(milliseconds: number, checkIntervalMilliseconds?: number): Promise<void>;
}

/** Starts a region on a fake clock, runs a scenario and disposes the region. */
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
  const advance = async (milliseconds: number, interval = CHECK_INTERVAL_MILLISECONDS): Promise<void> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += interval) {
      await clock.tickAsync(interval);
      await oracle.check();
    }
  };
  try {
    const published = region.publish(undefined, region.service());
    await clock.tickAsync(100);
    await published;
    region.startAll();
    await advance(STARTUP_MILLISECONDS);
    oracle.resetUnownedTimes();
    await scenario({ region, oracle, advance });
  } finally {
    region.dispose();
    clock.uninstall();
  }
}
