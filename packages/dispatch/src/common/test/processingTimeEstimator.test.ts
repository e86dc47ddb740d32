import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { ProcessingTimeEstimator } from '../processingTimeEstimator.js';
import { ServiceProcessingTimes } from '../serviceProcessingTimes.js';

const MEAN_MILLISECONDS = 250;
/** Keys move from a server that seems to be this much slower than another one. */
const MOVE_FACTOR = 1.5;
/** Share of the time for which two equal servers may seem different. */
const MAX_MISJUDGED_SHARE = 0.05;

/** Times that vary around their mean, of which 3 in 100 are seven times longer. */
function requestMilliseconds(random: RandomSource): number {
  const varied = MEAN_MILLISECONDS * (0.5 + random.fraction());
  return random.fraction() < 0.03 ? 7 * varied : varied;
}

describe('the processing time estimator', () => {
  describe('of servers of which some requests take seven times longer', () => {
    it('rarely takes one of two equal servers for a slower one', () => {
      const random = new RandomSource(7);
      const service = new ServiceProcessingTimes(MEAN_MILLISECONDS);
      const servers = [1, 2].map(() => new ProcessingTimeEstimator(service));
      const ratios = { recent: 0, longTerm: 0 };
      const rounds = 5_000;
      for (let round = 0; round < rounds; round += 1) {
        servers.forEach((server) => {
          server.add(requestMilliseconds(random));
        });
        const [left, right] = servers;
        const differ = (one = 0, other = 0): number =>
          Math.max(one, other) > MOVE_FACTOR * Math.min(one, other) ? 1 : 0;
        ratios.recent += differ(left?.recentMilliseconds, right?.recentMilliseconds);
        ratios.longTerm += differ(left?.longTermMilliseconds, right?.longTermMilliseconds);
      }
      assert.ok(ratios.longTerm / rounds < MAX_MISJUDGED_SHARE, JSON.stringify(ratios));
      assert.ok(ratios.recent / rounds < 2 * MAX_MISJUDGED_SHARE, JSON.stringify(ratios));
    });

    it('estimates the average, which is what the throughput follows from', () => {
      const random = new RandomSource(8);
      const server = new ProcessingTimeEstimator(new ServiceProcessingTimes(100));
      let sum = 0;
      let estimates = 0;
      for (let request = 0; request < 5_000; request += 1) {
        const milliseconds = requestMilliseconds(random);
        sum += milliseconds;
        server.add(milliseconds);
        estimates += server.longTermMilliseconds;
      }
      assert.ok(Math.abs(estimates / sum - 1) < 0.15, (estimates / sum).toString());
    });
  });

  describe('of a server that becomes five times slower', () => {
    it('exceeds twice the former time within five requests, and the long-term time follows within a dozen', () => {
      const server = new ProcessingTimeEstimator(new ServiceProcessingTimes(100));
      for (let request = 0; request < 60; request += 1) {
        server.add(100);
      }
      for (let request = 0; request < 5; request += 1) {
        server.add(500);
      }
      assert.ok(server.recentMilliseconds > 200, server.recentMilliseconds.toString());
      for (let request = 0; request < 7; request += 1) {
        server.add(500);
      }
      assert.ok(server.longTermMilliseconds > 200, server.longTermMilliseconds.toString());
    });
  });

  it('begins with the time that is assumed, and the first sample counts as much as that', () => {
    const server = new ProcessingTimeEstimator(new ServiceProcessingTimes(100));
    assert.ok(Math.abs(server.recentMilliseconds - 100) < 1e-6);
    assert.is(server.sampleCount, 0);
    server.add(400);
    const middle = 200;
    assert.ok(Math.abs(server.recentMilliseconds / middle - 1) < 0.1, server.recentMilliseconds.toString());
    assert.is(server.sampleCount, 1);
  });

  it('accepts times of zero', () => {
    const server = new ProcessingTimeEstimator(new ServiceProcessingTimes(0));
    server.add(0);
    assert.ok(Number.isFinite(server.recentMilliseconds));
    assert.ok(server.longTermMilliseconds > 0);
  });
});
