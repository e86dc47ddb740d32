import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { estimateProcessingTimes } from '../processingTimes.js';

describe('the expected time of a server', () => {
  const learned = new Map([
    ['well known', { milliseconds: 400, sampleCount: 50 }],
    ['also known', { milliseconds: 200, sampleCount: 50 }],
    ['seen once', { milliseconds: 3_000, sampleCount: 1 }],
  ]);
  const times = estimateProcessingTimes([...learned.keys(), 'never seen'], learned);

  it('is about the mean of all where little is known', () => {
    assert.ok((times.get('seen once') ?? 0) < 600);
    const mean = (50 * 400 + 50 * 200 + 3_000) / 101;
    assert.ok(Math.abs((times.get('never seen') ?? 0) - mean) < 1);
  });

  it('is about its own where much is known', () => {
    assert.ok((times.get('well known') ?? 0) > 370);
    assert.ok((times.get('also known') ?? 0) < 240);
  });
});
