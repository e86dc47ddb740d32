import * as assert from 'uvu/assert';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { AnnouncedWarmups } from '../announcedWarmups.js';

function announce(warmupMilliseconds: number, incarnation = 1): ServerRecord {
  return {
    id: 'a',
    incarnation,
    service: 'parcels',
    address: '10.0.0.1:80',
    availabilityZone: 'zone-1',
    slots: 6,
    phase: 'ready',
    warmupMilliseconds,
  };
}

describe('announced warm-up times', () => {
  it('pass while a server repeats its announcement, and begin anew when it becomes cold again', () => {
    const warmups = new AnnouncedWarmups();
    assert.is(warmups.record(announce(3_000), 0), false);
    assert.is(warmups.record(announce(2_000), 1_200), false);
    assert.is(warmups.remainingMilliseconds('a', 1_200), 1_800);
    assert.is(warmups.remainingMilliseconds('a', 4_000), 0);
    assert.is(warmups.record(announce(2_800), 20_000), true);
    assert.is(warmups.remainingMilliseconds('a', 20_000), 2_800);
  });

  it('belong to one incarnation, and end early when the server says so', () => {
    const warmups = new AnnouncedWarmups();
    warmups.record(announce(3_000), 0);
    assert.is(warmups.record(announce(3_000, 2), 1_000), false);
    assert.is(warmups.remainingMilliseconds('a', 1_000), 3_000);
    warmups.record(announce(0, 2), 1_500);
    assert.is(warmups.remainingMilliseconds('a', 1_500), 0);
  });
});
