import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { compareText } from '../compareText.js';

describe('the order of texts', () => {
  it('is that of their code units, whatever the language of the machine', () => {
    assert.equal(['b', 'a-10@z', 'B', 'a-1@z', 'a'].sort(compareText), ['B', 'a', 'a-10@z', 'a-1@z', 'b']);
    assert.is(compareText('same', 'same'), 0);
  });
});
