import { type ChildProcessByStdio, spawn } from 'node:child_process';
import { once } from 'node:events';
import type { Readable, Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';

const BURST_SCRIPT = fileURLToPath(new URL('fakes/logBurst.ts', import.meta.url));
/** Limit of the logger for lines of one event in a second. */
const MAX_LINES_PER_EVENT_PER_SECOND = 300;
const EVENTS = 40;
const LINES_PER_EVENT = 2_000;

function startBurstProcess(): ChildProcessByStdio<Writable, Readable, Readable> {
  return spawn(process.execPath, ['--import', 'tsx', BURST_SCRIPT], { stdio: ['pipe', 'pipe', 'pipe'] });
}

async function readAll(stream: Readable): Promise<string> {
  let text = '';
  stream.setEncoding('utf8');
  for await (const chunk of stream) {
    text += String(chunk);
  }
  return text;
}

describe('BoundedLogger', () => {
  it('does not block on its reader, limits a burst, and reports the dropped lines', async () => {
    const burst = startBurstProcess();
    try {
      // Standard output is not read until the whole burst has been logged.
      const [report] = (await once(burst.stderr, 'data')) as [Buffer];
      const [, logged, dropped] = (/logged (\d+) dropped (\d+)/.exec(report.toString()) ?? []).map(Number);
      assert.is(logged, EVENTS * LINES_PER_EVENT);
      assert.ok((dropped ?? 0) >= EVENTS * (LINES_PER_EVENT - MAX_LINES_PER_EVENT_PER_SECOND));
      const output = readAll(burst.stdout);
      burst.stdin.write('go on\n');
      const lines = (await output).split('\n').filter((line) => line !== '');
      assert.ok(
        lines.every((line) => /^time=\S+ event=\S+ /.test(line)),
        'every line is complete',
      );
      const reportedDrops = lines
        .filter((line) => line.includes('event=log-lines-dropped'))
        .reduce((sum, line) => sum + Number(/ lines=(\d+)/.exec(line)?.[1]), 0);
      const written = lines.filter((line) => line.includes('event=event-')).length;
      assert.is(written + reportedDrops, logged, 'every line is written or reported as dropped');
    } finally {
      burst.kill('SIGKILL');
    }
  });
});
