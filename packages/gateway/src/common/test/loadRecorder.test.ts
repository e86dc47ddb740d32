import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { LoadRecorder } from '../loadRecorder.js';

const SLICES = 4;
/** Key hashes in slices 0 and 1. */
const FIRST_KEY = '0000000000000000';
const SECOND_KEY = '0000000100000000';

describe('the load that a gateway reports', () => {
  it('assigns equal load to equal requests, regardless of the speed of the server that ran them', () => {
    const clock = FakeTimers.install({ toFake: ['performance'] });
    try {
      const recorder = new LoadRecorder(1_000);
      for (let request = 0; request < 10; request += 1) {
        recorder.recordResponse('fast', FIRST_KEY, SLICES, 10);
        recorder.recordResponse('slow', SECOND_KEY, SLICES, 30);
      }
      assert.is(recorder.report(), undefined);
      clock.tick(1_000);
      const report = recorder.report();
      assert.equal(report?.slices, [
        { slice: 0, busyMilliseconds: 200 },
        { slice: 1, busyMilliseconds: 200 },
      ]);
      assert.equal(
        report?.servers.map(({ busyMilliseconds }) => busyMilliseconds),
        [100, 300],
      );
    } finally {
      clock.uninstall();
    }
  });
});
