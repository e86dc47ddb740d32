import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { estimateProcessingTimes } from '../processingTimes.js';

describe('the processing time estimate of a server', () => {
  const measured = new Map([
    ['many samples, slow', { milliseconds: 400, sampleCount: 50 }],
    ['many samples, fast', { milliseconds: 200, sampleCount: 50 }],
    ['one sample', { milliseconds: 3_000, sampleCount: 1 }],
  ]);
  const times = estimateProcessingTimes([...measured.keys(), 'no sample'], measured);

  it('is close to the mean over all servers if there are few samples', () => {
    assert.ok((times.get('one sample') ?? 0) < 600);
    const mean = (50 * 400 + 50 * 200 + 3_000) / 101;
    assert.ok(Math.abs((times.get('no sample') ?? 0) - mean) < 1);
  });

  it('is close to its own average if there are many samples', () => {
    assert.ok((times.get('many samples, slow') ?? 0) > 370);
    assert.ok((times.get('many samples, fast') ?? 0) < 240);
  });
});
