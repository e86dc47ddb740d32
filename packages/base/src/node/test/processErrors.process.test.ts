import { spawn } from 'node:child_process';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';

const MODULE = join(import.meta.dirname, '../processErrors.ts');

/** Runs a process that throws in a timer and rejects a promise, and prints a line afterwards. */
async function runProcess(installs: boolean): Promise<{ code: number | null; output: string }> {
  const script = `
    import { logProcessErrors } from ${JSON.stringify(MODULE)};
    const logger = { log: (level, event) => { process.stdout.write(event + '\\n'); } };
    ${installs ? 'logProcessErrors(logger);' : ''}
    setTimeout(() => { throw new Error('unexpected message'); }, 1);
    setTimeout(() => { void Promise.reject(new Error('unexpected answer')); }, 20);
    setTimeout(() => { process.stdout.write('still running\\n'); }, 60);
  `;
  const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString('utf8')));
  const code = await new Promise<number | null>((resolve) => child.on('close', resolve));
  return { code, output };
}

describe('an error that nothing catches', () => {
  it('is logged and does not end the process', async () => {
    const { code, output } = await runProcess(true);
    assert.is(output, 'uncaught-exception\nunhandled-rejection\nstill running\n');
    assert.is(code, 0);
  });

  it('would end the process otherwise', async () => {
    const { code, output } = await runProcess(false);
    assert.is(output, '');
    assert.is.not(code, 0);
  });
});
