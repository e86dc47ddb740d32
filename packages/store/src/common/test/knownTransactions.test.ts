import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { KnownTransactions } from '../knownTransactions.js';

describe('KnownTransactions', () => {
  it('follow a version without a gap, in whatever order they became known', () => {
    const transactions = new KnownTransactions();
    [13, 11, 12, 15].forEach((version) => {
      transactions.record(version);
    });
    assert.is(transactions.lastAfter(10), 13);
    assert.is(transactions.lastAfter(13), 13);
    transactions.record(14);
    assert.is(transactions.lastAfter(10), 15);
  });

  it('are forgotten when there are many, which only ends the sequence earlier', () => {
    const transactions = new KnownTransactions();
    for (let version = 1; version <= 5_000; version += 1) {
      transactions.record(version);
    }
    assert.is(transactions.lastAfter(0), 0);
    assert.is(transactions.lastAfter(4_900), 5_000);
  });
});
