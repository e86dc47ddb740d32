import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { KeyBalanceExperiment, keyLoadPatterns } from '../experiments/keyBalanceExperiment.js';

/** Time for which a server keeps its keys at least, on average, while the load does not change; in seconds. */
const CALM_SECONDS = 10;

describe('keys under a load that does not change', () => {
  it('change hands seldom, though single requests and what is learned of servers differ', () => {
    const options = keyLoadPatterns['steady, 75 % load'];
    const { movesPerSecond } = new KeyBalanceExperiment(options).run();
    const most = options.servers / CALM_SECONDS;
    assert.ok(
      movesPerSecond <= most,
      `${movesPerSecond.toString()} moves/s of ${most.toString()} at the most`,
    );
  });
});
