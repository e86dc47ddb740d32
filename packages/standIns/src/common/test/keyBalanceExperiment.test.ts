import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { KeyBalanceExperiment, keyLoadPatterns } from '../experiments/keyBalanceExperiment.js';

/** Minimum mean time between two moves of keys per server under constant load, in seconds. */
const MIN_OWNERSHIP_SECONDS = 10;

describe('keys under constant load', () => {
  it('rarely change owner, although work of requests and estimates of processing times vary', () => {
    const options = keyLoadPatterns['steady, 75 % load'];
    const { movesPerSecond } = new KeyBalanceExperiment(options).run();
    const maxMovesPerSecond = options.servers / MIN_OWNERSHIP_SECONDS;
    assert.ok(
      movesPerSecond <= maxMovesPerSecond,
      `${movesPerSecond.toString()} moves/s, at most ${maxMovesPerSecond.toString()} expected`,
    );
  });
});
