import * as assert from 'uvu/assert';
import { describe, it } from '../describe.js';
import { judgeMutation } from '../testReport.js';

describe('a test run with a disabled mechanism', () => {
  it('detects the mechanism only if a test fails', () => {
    const failure = '\n--- x.test.ts\n   FAIL  keys  "keys > have one owner"\n\n3 passed, 1 failed\n';
    assert.is(judgeMutation(failure), 'caught');
    assert.is(judgeMutation('ok   x.test.ts (4 passed)\n\n4 passed, 0 failed\n'), 'missed');
  });

  it('detects nothing if it ends before its first test', () => {
    assert.is(judgeMutation(''), 'no-test-ran');
    assert.is(judgeMutation('\n0 passed, 0 failed\n'), 'no-test-ran');
    assert.is(
      judgeMutation("FAIL x.test.ts (0 passed)\nCannot find module 'y'\n\n0 passed, 1 failed\n"),
      'no-test-ran',
    );
  });
});
