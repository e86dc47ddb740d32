import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { formatLogLine, parseLogLine } from '../logger.js';

describe('formatLogLine', () => {
  it('writes the event first, omits undefined values and quotes where needed', () => {
    const line = formatLogLine('request-ended', {
      request: 'r-1',
      reason: undefined,
      text: 'a "b"=c',
      empty: '',
      milliseconds: -1.5,
      isKept: false,
    });
    assert.is(
      line,
      'event=request-ended request=r-1 text="a \\"b\\"=c" empty="" milliseconds=-1.5 isKept=false',
    );
    assert.equal(parseLogLine(line), {
      event: 'request-ended',
      request: 'r-1',
      text: 'a "b"=c',
      empty: '',
      milliseconds: '-1.5',
      isKept: 'false',
    });
  });
});
