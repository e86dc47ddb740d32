import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type KeyControlRig, runKeyControl } from './fakes/keyControlRig.js';

/** Time within which every entry VM must know that a server leaves, in milliseconds: the platform's `drain`. */
const DRAIN_MILLISECONDS = 2_000;
/** Time that an entry VM has after a cut of its own, 3 s, but for the call that is under way when it heals. */
const CATCH_UP_MILLISECONDS = 1_800;
const REST_MILLISECONDS = 20_000;
/** Two readers and the assigner wait 2.5 s at a time for each of two tables; the assigner confirms every 2 s. */
const MOST_CALLS_AT_REST = (3 * 2 * REST_MILLISECONDS) / 2_500 + REST_MILLISECONDS / 2_000;

async function callsAtRest(rig: KeyControlRig): Promise<number> {
  await rig.advance(3_000);
  const before = rig.store.calls;
  await rig.advance(REST_MILLISECONDS);
  return rig.store.calls - before;
}

function readerIds(rig: KeyControlRig): readonly string[] {
  return [...rig.vms.values()].filter(({ control }) => control.isReader).map(({ id }) => id);
}

function knowLeaving(rig: KeyControlRig, server: string): readonly string[] {
  return [...rig.vms.keys()].filter((id) => rig.phaseOf(id, server) === 'leaving');
}

describe('following the store', () => {
  for (const entryVms of [3, 12, 30]) {
    it(`takes the calls of three readers with ${entryVms.toString()} entry VMs`, async () => {
      await runKeyControl(async (rig) => {
        for (let number = 4; number <= entryVms; number += 1) {
          rig.startVm(`vm-${number.toString()}`);
        }
        const calls = await callsAtRest(rig);
        assert.ok(calls <= MOST_CALLS_AT_REST, `${calls.toString()} calls`);
      });
    });
  }

  for (const { name, disturb } of [
    {
      name: 'is killed',
      disturb: (rig: KeyControlRig, id: string) => {
        rig.kill(id);
      },
    },
    {
      name: 'freezes',
      disturb: (rig: KeyControlRig, id: string) => {
        const vm = rig.vms.get(id);
        if (vm !== undefined) {
          vm.isRunning = false;
        }
      },
    },
    {
      name: 'is refused by the store',
      disturb: (rig: KeyControlRig, id: string) => {
        rig.store.refuse(id, true);
      },
    },
  ]) {
    it(`brings every change in time when each reader ${name}`, async () => {
      await runKeyControl(async (rig) => {
        for (let number = 4; number <= 6; number += 1) {
          rig.startVm(`vm-${number.toString()}`);
        }
        await rig.advance(3_000);
        const readers = readerIds(rig);
        assert.ok(readers.length < rig.vms.size);
        readers.forEach((id) => {
          disturb(rig, id);
        });
        rig.announce('server-4', 'leaving');
        await rig.advance(DRAIN_MILLISECONDS);
        const others = [...rig.vms.keys()].filter((id) => !readers.includes(id));
        assert.equal(
          others.filter((id) => !knowLeaving(rig, 'server-4').includes(id)),
          [],
        );
      });
    });
  }

  it('brings every change in time when datagrams that pass changes on get lost', async () => {
    await runKeyControl(async (rig) => {
      for (let number = 4; number <= 6; number += 1) {
        rig.startVm(`vm-${number.toString()}`);
      }
      await rig.advance(3_000);
      rig.loses = ({ type }) => type === 'table-changes' || type === 'assignment-change';
      rig.announce('server-4', 'leaving');
      await rig.advance(DRAIN_MILLISECONDS);
      assert.is(knowLeaving(rig, 'server-4').length, rig.vms.size);
      for (const { id, control } of rig.vms.values()) {
        assert.is.not(control.owners.ownerOf('catalogue', 65_535), 'server-4', id);
        assert.is.not(control.owners.ownerOf('catalogue', 65_535), undefined, id);
      }
    });
  });

  it('brings new owners to all without a call to the store', async () => {
    await runKeyControl(async (rig) => {
      await rig.advance(3_000);
      rig.announce('server-4', 'leaving');
      await rig.advance(1_000);
      const owners = [...rig.vms.values()].map(({ control }) => control.owners.ownerOf('catalogue', 65_535));
      assert.is(new Set(owners).size, 1);
      assert.is.not(owners[0], 'server-4');
      assert.equal(
        rig.trace.filter((line) => line.includes('assignment-behind')),
        [],
      );
    });
  });

  it('brings many servers at once to all without a call for each entry VM', async () => {
    await runKeyControl(async (rig) => {
      await rig.advance(3_000);
      for (let number = 0; number < 40; number += 1) {
        rig.announce(`server-of-a-large-release-${number.toString()}`);
      }
      await rig.advance(1_500);
      for (const id of rig.vms.keys()) {
        assert.is(rig.phaseOf(id, 'server-of-a-large-release-39'), 'ready', id);
      }
      assert.equal(
        rig.trace.filter((line) => line.includes('table-behind')),
        [],
      );
    });
  });

  it('shows an entry VM that was cut off alone which servers left meanwhile, without a wait for their return', async () => {
    await runKeyControl(async (rig) => {
      await rig.advance(3_000);
      const readers = readerIds(rig);
      const cutOff = [...rig.vms.keys()].find((id) => !readers.includes(id)) ?? '';
      assert.ok(cutOff);
      rig.store.refuse(cutOff, true);
      rig.loses = ({ type }) => type === 'table-changes';
      await rig.advance(3_000);
      rig.withdraw('server-4');
      await rig.advance(6_000);
      rig.store.refuse(cutOff, false);
      rig.loses = () => false;
      await rig.advance(CATCH_UP_MILLISECONDS);
      assert.is.not(rig.phaseOf(cutOff, 'server-4'), 'ready');
    });
  });
});
