import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import * as assert from 'uvu/assert';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import {
  type EntryVmRigProcess,
  ProcessRig,
  readExecutions,
  readStatus,
  type RigProcess,
  waitUntil,
} from '../processRig.js';

/** Design limit: number of servers that one request may crash before it is refused. */
const CRASH_LIMIT = 3;
const SEND_COUNT = 12;

interface ReportedOutcome {
  readonly outcome: string;
  readonly reason: string;
}

interface Region {
  readonly rig: ProcessRig;
  readonly servers: readonly RigProcess[];
  readonly entryVms: readonly [EntryVmRigProcess, EntryVmRigProcess, EntryVmRigProcess];
}

async function send(
  entryVm: EntryVmRigProcess,
  body: string,
  idempotencyKey?: string,
): Promise<ReportedOutcome> {
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
    const serviceFile = {
      kind,
      name: 'reservations',
      pathPrefix: '/reservations',
      deadlineMilliseconds: 10_000,
      servers: servers.map(({ address }) => ({ address, availabilityZone: 'es-north-1' })),
    };
    writeFileSync(join(rig.directory, 'hickoryhoist.json'), JSON.stringify(serviceFile));
    assert.is(await rig.runCommand(['publish', rig.directory, '--platform', platform.address]), 0);
    const start = (zone: string): Promise<EntryVmRigProcess> =>
      rig.startEntryVm({ id: `vm-${zone}`, availabilityZone: zone, platformAddress: platform.address });
    const entryVms = [
      await start('es-north-1'),
      await start('es-north-2'),
      await start('es-north-3'),
    ] as const;
    for (const entryVm of entryVms) {
      await waitUntil(`${entryVm.id} serves`, async () => {
        const groups = (await readStatus(entryVm))?.groups ?? [];
        const known = groups.filter(({ servers: others }) => others.length >= entryVms.length);
        return known.length === 2;
      });
    }
    await body({ rig, servers, entryVms });
  } catch (error) {
    throw new Error(`${describeError(error)}\n${rig.describeProcesses()}`, { cause: error });
  } finally {
    rig.dispose();
  }
}

async function countExecutions(servers: readonly RigProcess[], idempotencyKey: string): Promise<number> {
  const runningServers = servers.filter(({ child }) => child.exitCode === null && child.signalCode === null);
  const executions = (await Promise.all(runningServers.map(readExecutions))).flat();
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
        assert.is(await countExecutions(servers, key), 1);
      }
    }));

  it('limit the number of servers that a crash-causing request ends', () =>
    withRegion('pooled', async ({ servers, entryVms }) => {
      const reported: ReportedOutcome[] = [];
      for (let resend = 0; resend < SEND_COUNT; resend += 1) {
        const entryVm = resend % 2 === 0 ? entryVms[0] : entryVms[1];
        reported.push(await send(entryVm, 'poison'));
        await waitUntil('the entry VM responds', async () => (await readStatus(entryVm)) !== undefined);
      }
      const crashed = servers.filter(({ child }) => child.exitCode !== null);
      assert.ok(crashed.length <= CRASH_LIMIT + 1, `${crashed.length.toString()} servers crashed`);
      assert.equal(reported.at(-1), { outcome: 'not-run', reason: 'crashes-servers' });
      assert.is((await send(entryVms[0], 'harmless')).outcome, 'answered');
    }));
});
