import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { findFreePort, FIRST_PORT } from '../freePort.js';

const PORTS = 40;
/** Default start of the ephemeral port range of Linux. */
const FIRST_EPHEMERAL_PORT = 32_768;

function firstEphemeralPort(): number {
  const range = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8');
  return Number(range.trim().split(/\s+/)[0] ?? FIRST_EPHEMERAL_PORT);
}

describe('findFreePort', () => {
  it('returns distinct ports below the ephemeral port range', async () => {
    const ports = new Set<number>();
    for (let index = 0; index < PORTS; index += 1) {
      ports.add(await findFreePort());
    }
    assert.is(ports.size, PORTS);
    assert.ok([...ports].every((port) => port < firstEphemeralPort()));
  });

  it('skips a port that is in use', async () => {
    const next = (await findFreePort()) + 1;
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(next, '127.0.0.1', resolve));
    const found = await findFreePort();
    server.close();
    assert.is.not(found, next);
  });

  it('does not return a port that another running process got and does not use yet', async () => {
    const module = join(import.meta.dirname, '../freePort.ts');
    const next = (await findFreePort()) + 1;
    const offset = next - FIRST_PORT;
    const script = `
      const { findFreePort, setNextOffset } = await import(${JSON.stringify(module)});
      setNextOffset(${offset.toString()});
      process.stdout.write((await findFreePort()).toString());
      process.stdin.resume();
    `;
    const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', script], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    try {
      const other = Number(await new Promise((resolve) => child.stdout.once('data', resolve)));
      assert.is(other, next);
      assert.is.not(await findFreePort(), next);
    } finally {
      child.kill('SIGKILL');
    }
  });
});
