import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type KeyOwnershipRig, withKeyOwnershipRig } from './fakes/keyOwnershipRig.js';

/** Time within which every entry VM must know that a server is leaving: the platform's `drain`. */
const DRAIN_MILLISECONDS = 2_000;
const ANNOUNCEMENT_MILLISECONDS = 870;
const STEP_MILLISECONDS = 30;
const ANNOUNCING_SERVERS = Math.floor(ANNOUNCEMENT_MILLISECONDS / STEP_MILLISECONDS);
const ENTRY_VMS = 10;

/** Advances the clock while one server after the other repeats its announcement. */
async function advanceBusy(rig: KeyOwnershipRig, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    const number = Math.floor(performance.now() / STEP_MILLISECONDS) % ANNOUNCING_SERVERS;
    rig.announce(`busy-server-${number.toString()}`);
    await rig.advance(Math.min(STEP_MILLISECONDS, milliseconds - elapsed));
  }
}

async function withBusyTables(test: (rig: KeyOwnershipRig) => Promise<void>): Promise<void> {
  await withKeyOwnershipRig(async (rig) => {
    for (let number = 4; number <= ENTRY_VMS; number += 1) {
      rig.startVm(`vm-${number.toString()}`);
    }
    await advanceBusy(rig, 6_000);
    await test(rig);
  });
}

function readerIds(rig: KeyOwnershipRig): readonly string[] {
  return [...rig.vms.values()].filter(({ controller }) => controller.isReader).map(({ id }) => id);
}

function unawareOfLeaving(rig: KeyOwnershipRig, except: readonly string[]): readonly string[] {
  return [...rig.vms.keys()].filter(
    (id) => !except.includes(id) && rig.phaseOf(id, 'server-4') !== 'leaving',
  );
}

describe('Tables that change all the time', () => {
  it('are read by two readers in turns of half a second', async () => {
    await withBusyTables(async (rig) => {
      const before = rig.store.calls;
      const seconds = 20;
      await advanceBusy(rig, seconds * 1_000);
      const calls = rig.store.calls - before;
      // Two tables, half a second each, and the assigner's confirmations; the control table waits 5 s.
      const maxCalls = seconds * (2 + 0.5 + 0.5) + 5;
      assert.ok(calls <= maxCalls, `${calls.toString()} calls`);
      assert.is(readerIds(rig).length, 2);
    });
  });

  for (const { name, disturb } of [
    {
      name: 'the store falls silent to one reader',
      disturb: (rig: KeyOwnershipRig, ids: readonly string[]) => {
        rig.store.silence(ids[0] ?? '', true);
      },
    },
    {
      name: 'the store falls silent to all readers',
      disturb: (rig: KeyOwnershipRig, ids: readonly string[]) => {
        ids.forEach((id) => {
          rig.store.silence(id, true);
        });
      },
    },
    {
      name: 'the store turns all readers away',
      disturb: (rig: KeyOwnershipRig, ids: readonly string[]) => {
        ids.forEach((id) => {
          rig.store.refuse(id, true);
        });
      },
    },
    {
      name: 'all readers are killed',
      disturb: (rig: KeyOwnershipRig, ids: readonly string[]) => {
        ids.forEach((id) => {
          rig.kill(id);
        });
      },
    },
    {
      name: 'the datagrams with changes are lost',
      disturb: (rig: KeyOwnershipRig) => {
        rig.isDropped = ({ type }) => type === 'table-changes';
      },
    },
    {
      name: 'every third datagram is lost',
      disturb: (rig: KeyOwnershipRig) => {
        let count = 0;
        rig.isDropped = () => {
          count += 1;
          return count % 3 === 0;
        };
      },
    },
  ]) {
    it(`are known in time at any moment of the readers' turns when ${name}`, async () => {
      for (const offset of [0, 260, 510, 740, 980]) {
        await withBusyTables(async (rig) => {
          await advanceBusy(rig, offset);
          const readers = readerIds(rig);
          disturb(rig, readers);
          rig.announce('server-4', 'leaving');
          await advanceBusy(rig, DRAIN_MILLISECONDS);
          assert.equal(unawareOfLeaving(rig, readers), [], `after ${offset.toString()} ms`);
        });
      }
    });
  }

  it('are known in time whatever entry VMs the store falls silent to, and whenever the change comes', async () => {
    const ids = Array.from({ length: ENTRY_VMS }, (_, index) => `vm-${(index + 1).toString()}`);
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 2_000 }),
        fc.integer({ min: 0, max: 2_000 }),
        fc.subarray(ids, { maxLength: 3 }),
        fc.boolean(),
        async (silencedAt, changedAfter, others, includesReaders) => {
          await withBusyTables(async (rig) => {
            await advanceBusy(rig, silencedAt);
            const silenced = [...(includesReaders ? readerIds(rig) : []), ...others];
            silenced.forEach((id) => {
              rig.store.silence(id, true);
            });
            await advanceBusy(rig, changedAfter);
            rig.announce('server-4', 'leaving');
            await advanceBusy(rig, DRAIN_MILLISECONDS);
            assert.equal(unawareOfLeaving(rig, silenced), []);
          });
        },
      ),
      { seed: 35, numRuns: 15 },
    );
  });
});
