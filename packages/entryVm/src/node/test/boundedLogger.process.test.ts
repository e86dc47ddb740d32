import { type ChildProcessByStdio, spawn } from 'node:child_process';
import { once } from 'node:events';
import type { Readable, Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';

const BURST = fileURLToPath(new URL('fakes/burstOfLines.ts', import.meta.url));
/** Lines of one event that are written in a second. */
const LINES_PER_EVENT_AND_SECOND = 300;
const EVENTS = 40;
const LINES_PER_EVENT = 2_000;

function startBurst(): ChildProcessByStdio<Writable, Readable, Readable> {
  return spawn(process.execPath, ['--import', 'tsx', BURST], { stdio: ['pipe', 'pipe', 'pipe'] });
}

async function readAll(stream: Readable): Promise<string> {
  let text = '';
  stream.setEncoding('utf8');
  for await (const chunk of stream) {
    text += String(chunk);
  }
  return text;
}

describe('the log', () => {
  it('does not wait for its reader, is bounded in a burst, and says what was dropped', async () => {
    const burst = startBurst();
    try {
      // Nobody reads standard output until the whole burst has been logged.
      const [report] = (await once(burst.stderr, 'data')) as [Buffer];
      const [, logged, dropped] = (/logged (\d+) dropped (\d+)/.exec(report.toString()) ?? []).map(Number);
      assert.is(logged, EVENTS * LINES_PER_EVENT);
      assert.ok((dropped ?? 0) >= EVENTS * (LINES_PER_EVENT - LINES_PER_EVENT_AND_SECOND));
      const output = readAll(burst.stdout);
      burst.stdin.write('go on\n');
      const lines = (await output).split('\n').filter((line) => line !== '');
      assert.ok(
        lines.every((line) => /^time=\S+ event=\S+ /.test(line)),
        'every line is whole',
      );
      const saidDropped = lines
        .filter((line) => line.includes('event=log-lines-dropped'))
        .reduce((sum, line) => sum + Number(/ lines=(\d+)/.exec(line)?.[1]), 0);
      const written = lines.filter((line) => line.includes('event=event-')).length;
      assert.is(written + saidDropped, logged, 'every line was written or is said to be dropped');
    } finally {
      burst.kill('SIGKILL');
    }
  });
});
