import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import {
  type EntryVmRigProcess,
  ProcessRig,
  readExecutions,
  readStatus,
  type RigProcess,
  until,
} from '../processRig.js';

/** Promise of the design: servers lost to one request before it is refused. */
const LOSS_LIMIT = 3;
const RESENDS = 12;

interface Told {
  readonly outcome: string;
  readonly reason: string;
}

interface Region {
  readonly rig: ProcessRig;
  readonly servers: readonly RigProcess[];
  readonly entryVms: readonly [EntryVmRigProcess, EntryVmRigProcess, EntryVmRigProcess];
}

async function send(entryVm: EntryVmRigProcess, body: string, idempotencyKey?: string): Promise<Told> {
  const response = await request(`http://${entryVm.address}/reservations/new`, {
    method: 'POST',
    body,
    headers: idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey },
  });
  await response.body.dump();
  const text = (name: string): string => String(response.headers[name]);
  return { outcome: text('hickoryhoist-outcome'), reason: text('hickoryhoist-reason') };
}

async function withRegion(kind: 'pooled' | 'keyed', body: (region: Region) => Promise<void>): Promise<void> {
  const rig = new ProcessRig();
  try {
    const platform = await rig.startPlatform();
    const servers = await Promise.all([1, 2, 3, 4, 5].map(() => rig.startServer({ crashText: 'poison' })));
    const file = {
      kind,
      name: 'reservations',
      pathPrefix: '/reservations',
      deadlineMilliseconds: 10_000,
      servers: servers.map(({ address }) => ({ address, availabilityZone: 'es-north-1' })),
    };
    writeFileSync(join(rig.directory, 'hickoryhoist.json'), JSON.stringify(file));
    assert.is(await rig.runCommand(['publish', rig.directory, '--platform', platform.address]), 0);
    const start = (zone: string): Promise<EntryVmRigProcess> =>
      rig.startEntryVm({ id: `vm-${zone}`, availabilityZone: zone, platformAddress: platform.address });
    const entryVms = [
      await start('es-north-1'),
      await start('es-north-2'),
      await start('es-north-3'),
    ] as const;
    for (const entryVm of entryVms) {
      await until(`${entryVm.id} serves`, async () => {
        const groups = (await readStatus(entryVm))?.groups ?? [];
        const known = groups.filter(({ servers: others }) => others.length >= entryVms.length);
        return known.length === 2;
      });
    }
    await body({ rig, servers, entryVms });
  } finally {
    rig.dispose();
  }
}

async function countRuns(servers: readonly RigProcess[], idempotencyKey: string): Promise<number> {
  const living = servers.filter(({ child }) => child.exitCode === null && child.signalCode === null);
  const executions = (await Promise.all(living.map(readExecutions))).flat();
  return executions.filter((execution) => execution.idempotencyKey === idempotencyKey).length;
}

describe('real processes under failure', () => {
  it('run no booking twice when entry VMs are killed and frozen between resends', () =>
    withRegion('pooled', async ({ servers, entryVms }) => {
      const keys = Array.from({ length: 8 }, (_unused, index) => `booking-${index.toString()}`);
      for (const key of keys) {
        assert.is((await send(entryVms[0], key, key)).outcome, 'answered');
      }
      entryVms[1].child.kill('SIGKILL');
      const resent = await Promise.all(keys.map((key) => send(entryVms[2], key, key)));
      assert.ok(resent.every(({ outcome }) => outcome !== 'not-run'));
      entryVms[0].child.kill('SIGSTOP');
      await Promise.all(keys.map((key) => send(entryVms[2], key, key)));
      entryVms[0].child.kill('SIGCONT');
      await Promise.all(keys.map((key) => send(entryVms[0], key, key)));
      for (const key of keys) {
        assert.is(await countRuns(servers, key), 1);
      }
    }));

  it('lose few servers to a request that crashes them', () =>
    withRegion('pooled', async ({ servers, entryVms }) => {
      const told: Told[] = [];
      for (let resend = 0; resend < RESENDS; resend += 1) {
        const entryVm = resend % 2 === 0 ? entryVms[0] : entryVms[1];
        told.push(await send(entryVm, 'poison'));
        await until(
          'the exchange between entry VMs has run',
          async () => (await readStatus(entryVm)) !== undefined,
        );
      }
      const lost = servers.filter(({ child }) => child.exitCode !== null);
      assert.ok(lost.length <= LOSS_LIMIT + 1, `${lost.length.toString()} servers lost`);
      assert.equal(told.at(-1), { outcome: 'not-run', reason: 'crashes-servers' });
      assert.is((await send(entryVms[0], 'harmless')).outcome, 'answered');
    }));
});
