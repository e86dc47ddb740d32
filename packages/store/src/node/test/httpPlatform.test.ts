import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { UnacceptingPort } from '@hickoryhoist/standIns/node/unacceptingPort.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { HttpPlatform } from '../httpPlatform.js';

/** The timeout of a request, and time until the error arrives. */
const MAX_FAILURE_MILLISECONDS = 2_300;

const machine = {
  id: 'vm-1',
  address: '127.0.0.1:8080',
  availabilityZone: 'zone-1',
  role: 'catalogue',
  state: 'live',
} as const;

/** Reads the list of machines from a platform that responds with a text. */
async function listOf(text: string): Promise<readonly { readonly id: string }[]> {
  const server = createServer((_request, response) => response.end(text));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const platform = new HttpPlatform(
    `127.0.0.1:${(server.address() as AddressInfo).port.toString()}`,
    silentLogger,
  );
  try {
    return await platform.virtualMachines.list();
  } finally {
    platform.dispose();
    server.close();
  }
}

describe('HttpPlatform', () => {
  describe('with an odd machine in the list', () => {
    for (const [name, odd] of Object.entries({
      'a port out of range': JSON.stringify({ ...machine, id: 'odd', address: '127.0.0.1:70000' }),
      'a number too large for a name': '{"id":1e999}',
      'deep nesting': `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
      'an unknown state': JSON.stringify({ ...machine, id: 'odd', state: 'asleep' }),
    })) {
      it(`keeps the others: ${name}`, async () => {
        const machines = await listOf(`{"machines":[${JSON.stringify(machine)},${odd}]}`);
        assert.equal(
          machines.map(({ id }) => id),
          ['vm-1'],
        );
      });
    }
  });

  it('gives up a platform that neither accepts nor refuses connections', async () => {
    const port = await UnacceptingPort.listen('127.0.0.1');
    const platform = new HttpPlatform(`127.0.0.1:${port.port.toString()}`, silentLogger);
    const startedAt = performance.now();
    const failure = await platform.virtualMachines.list().then(
      () => undefined,
      (error: unknown) => error,
    );
    assert.instance(failure, Error);
    assert.ok(performance.now() - startedAt < MAX_FAILURE_MILLISECONDS);
    platform.dispose();
    await port.dispose();
  });
});
