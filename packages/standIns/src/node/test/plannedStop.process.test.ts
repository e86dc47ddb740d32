import { writeFileSync } from 'node:fs';
import { Agent, request as sendRequest } from 'node:http';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type EntryVmRigProcess, ProcessRig, waitUntilServing } from '../processRig.js';

const CALLERS = 16;
/** The service, and the entry VMs as owners of idempotency keys. */
const GROUPS = 2;
const SERVICE_MILLISECONDS = 20;
const BALANCER_REACTION_MILLISECONDS = 3_000;

/** How a request of a caller ended. */
type Ending =
  | { readonly kind: 'answered'; readonly status: number }
  /** No connection was established, so that no request was accepted. */
  | { readonly kind: 'not-connected' }
  /** The connection ended without an answer after the request had been sent. */
  | { readonly kind: 'cut-off'; readonly reason: string };

function send(address: string, agent: Agent | false, id: number): Promise<Ending> {
  return new Promise((resolve) => {
    let isConnected = false;
    const outgoing = sendRequest(
      `http://${address}/circulation/checkouts`,
      { method: 'POST', agent, headers: { 'idempotency-key': `caller-${id.toString()}` } },
      (response) => {
        response.resume();
        response.once('end', () => {
          resolve({ kind: 'answered', status: response.statusCode ?? 0 });
        });
        response.once('error', (error) => {
          resolve({ kind: 'cut-off', reason: error.message });
        });
      },
    );
    outgoing.once('socket', (socket) => {
      isConnected = !socket.connecting;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    outgoing.once('error', (error) => {
      resolve(isConnected ? { kind: 'cut-off', reason: error.message } : { kind: 'not-connected' });
    });
    outgoing.end(`book-${id.toString()}`);
  });
}

async function startRegion(rig: ProcessRig): Promise<readonly [EntryVmRigProcess, EntryVmRigProcess]> {
  const platform = await rig.startPlatform();
  const server = await rig.startServer({ serviceMilliseconds: SERVICE_MILLISECONDS });
  const service = {
    kind: 'pooled',
    name: 'circulation',
    pathPrefix: '/circulation',
    servers: [{ address: server.address, availabilityZone: 'hr-1' }],
  };
  writeFileSync(join(rig.directory, 'circulation.hickoryhoist.json'), JSON.stringify(service));
  assert.is(await rig.runCommand(['publish', rig.directory, '--platform', platform.address]), 0);
  const settings = {
    platformAddress: platform.address,
    balancerReactionMilliseconds: BALANCER_REACTION_MILLISECONDS,
  };
  const entryVms = [
    await rig.startEntryVm({ ...settings, id: 'entry-vm-1', availabilityZone: 'hr-1' }),
    await rig.startEntryVm({ ...settings, id: 'entry-vm-2', availabilityZone: 'hr-2' }),
  ] as const;
  for (const entryVm of entryVms) {
    await waitUntilServing(entryVm, GROUPS);
  }
  return entryVms;
}

describe('a planned stop under continuous load', () => {
  for (const connections of ['new', 'kept'] as const) {
    it(`cuts off no request that was accepted, on ${connections} connections`, async () => {
      const rig = new ProcessRig();
      const agent = connections === 'new' ? false : new Agent({ keepAlive: true });
      try {
        const [entryVm] = await startRegion(rig);
        const endings: Ending[] = [];
        let isSending = true;
        let nextId = 0;
        const callers = Array.from({ length: CALLERS }, async () => {
          while (isSending) {
            nextId += 1;
            endings.push(await send(entryVm.address, agent, nextId));
          }
        });
        await wait(1_000);
        entryVm.child.kill('SIGTERM');
        // A load balancer notices after some time that the entry VM is not ready.
        await wait(BALANCER_REACTION_MILLISECONDS / 2);
        isSending = false;
        await Promise.all(callers);
        const cutOff = endings.filter(({ kind }) => kind === 'cut-off');
        assert.equal(cutOff, [], `of ${endings.length.toString()} requests`);
        assert.ok(endings.some(({ kind }) => kind === 'answered'));
        assert.is(await entryVm.exited, 0);
      } finally {
        if (agent !== false) {
          agent.destroy();
        }
        rig.dispose();
      }
    });
  }
});
