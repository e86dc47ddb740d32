import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import {
  ProcessRig,
  readExecutions,
  readStatus,
  setBehaviour,
  waitUntil,
  waitUntilServing,
} from '../processRig.js';

interface CallResult {
  readonly status: number;
  readonly outcome: string;
  readonly body: unknown;
}

async function call(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: string,
): Promise<CallResult> {
  const response = await request(`http://${address}${path}`, {
    method,
    body: body ?? null,
    headers: body === undefined ? {} : { 'idempotency-key': `test-${body.slice(0, 32)}` },
  });
  const outcome = response.headers['hickoryhoist-outcome'];
  return { status: response.statusCode, outcome: String(outcome), body: await response.body.json() };
}

describe('the system as separate processes', () => {
  it('serves a look-up, a checkout and an upload, and finishes requests in flight before it stops', async () => {
    const rig = new ProcessRig();
    try {
      const platform = await rig.startPlatform();
      const catalogue = [await rig.startServer(), await rig.startServer()];
      const circulation = await rig.startServer();
      const upload = await rig.startServer();
      const toServerList = (servers: readonly { address: string }[]): object[] =>
        servers.map(({ address }) => ({ address, availabilityZone: 'hr-1' }));
      const services = [
        { kind: 'keyed', name: 'catalogue', pathPrefix: '/catalogue', servers: toServerList(catalogue) },
        {
          kind: 'pooled',
          name: 'circulation',
          pathPrefix: '/circulation',
          servers: toServerList([circulation]),
        },
        {
          kind: 'pooled',
          name: 'upload',
          pathPrefix: '/upload',
          servers: toServerList([upload]),
          latencyClass: 'bulk',
        },
      ];
      for (const service of services) {
        writeFileSync(join(rig.directory, `${service.name}.hickoryhoist.json`), JSON.stringify(service));
      }
      const published = await rig.runCommand(['publish', rig.directory, '--platform', platform.address]);
      assert.is(published, 0);
      const settings = { platformAddress: platform.address };
      const entryVms = [
        await rig.startEntryVm({ ...settings, id: 'entry-vm-1', availabilityZone: 'hr-1' }),
        await rig.startEntryVm({ ...settings, id: 'entry-vm-2', availabilityZone: 'hr-2' }),
      ] as const;
      for (const entryVm of entryVms) {
        await waitUntilServing(entryVm, services.length + 1);
      }

      const lookUp = await call(entryVms[0].address, 'GET', '/catalogue/9789531234567');
      assert.equal([lookUp.status, lookUp.outcome], [200, 'answered']);
      const checkout = await call(entryVms[0].address, 'POST', '/circulation/checkouts', 'book-1');
      const resent = await call(entryVms[1].address, 'POST', '/circulation/checkouts', 'book-1');
      assert.equal([checkout.status, checkout.outcome], [200, 'answered']);
      assert.equal(resent.body, checkout.body);
      assert.is((await readExecutions(circulation)).length, 1);
      const scan = await call(entryVms[1].address, 'POST', '/upload/scans', 'x'.repeat(300_000));
      assert.is(scan.outcome, 'answered');
      assert.is((await readExecutions(upload))[0]?.bodyBytes, 300_000);

      await setBehaviour(circulation, { serviceMilliseconds: 400 });
      const inFlight = ['a', 'b', 'c'].map((book) =>
        call(entryVms[0].address, 'POST', '/circulation/checkouts', book),
      );
      await waitUntil('the requests are in flight', async () => {
        const status = await readStatus(entryVms[0]);
        return status !== undefined && status.inFlight >= inFlight.length;
      });
      entryVms[0].child.kill('SIGTERM');
      assert.equal(
        (await Promise.all(inFlight)).map(({ outcome }) => outcome),
        ['answered', 'answered', 'answered'],
      );
      assert.is(await entryVms[0].exited, 0);
    } finally {
      rig.dispose();
    }
  });
});
