import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { DrainStore } from '../drainStore.js';
import { SERVICE, socketAddressOf } from './fakes/fakeRegion.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

/** Time after which a leaving server owns no key. */
const DRAIN_MILLISECONDS = 4_000;
/** Maximum time for which a key may be unowned during a planned ownership transfer. */
const MAXIMUM_TRANSFER_MILLISECONDS = 1_000;

const regionOptions = {
  seed: 9,
  entryVmZones: ['a', 'b', 'c', 'a'],
  serverZones: ['a', 'b', 'c', 'a'],
  sliceCount: 24,
};

function keysOf({ oracle, region }: RegionRun, index: number): readonly string[] {
  const address = region.servers[index]?.address ?? '';
  return oracle.keyHashes.filter((keyHash) => oracle.ownersOf(keyHash).includes(address));
}

function assertAllOwned({ oracle }: RegionRun): void {
  assert.is(oracle.keyHashes.filter((keyHash) => oracle.ownersOf(keyHash).length !== 1).length, 0);
  assert.ok(oracle.longestUnownedMilliseconds <= MAXIMUM_TRANSFER_MILLISECONDS);
}

describe('a leaving server', () => {
  it('owns no key after 4 s, and no key is unowned for more than 1 s', () =>
    runRegion(regionOptions, async (run) => {
      run.region.servers[0]?.leave();
      await run.advance(DRAIN_MILLISECONDS);
      assert.equal(keysOf(run, 0), []);
      assertAllOwned(run);
    }));

  it('is not taken for leaving once a new process has started at its address, which its renewers do not reach', () =>
    runRegion(regionOptions, async (run) => {
      const server = run.region.servers[0];
      const address = socketAddressOf(server?.address ?? '');
      server?.leave();
      await run.advance(700);
      const known = [...run.region.entryVms.values()][0]?.assignment(SERVICE);
      for (const { id } of known?.servers.find((other) => other.address === address)?.renewers ?? []) {
        run.region.network.partition(id, server?.address ?? '');
      }
      server?.restart();
      const incarnation = server?.holder.incarnation;
      const phases = new Set<string>();
      for (let step = 0; step < 300; step += 1) {
        await run.advance(10);
        for (const control of run.region.entryVms.values()) {
          const record = control.assignment(SERVICE)?.servers.find((other) => other.address === address);
          if (record !== undefined && record.incarnation === incarnation) {
            phases.add(record.phase);
          }
        }
      }
      assert.equal([...phases], ['serving']);
    }));

  it('delays the transfer of a key until its request in flight has ended', () =>
    runRegion(regionOptions, async (run) => {
      const server = run.region.servers[0];
      const keyHash = keysOf(run, 0)[0] ?? '';
      const tracking = server?.holder.track(keyHash);
      server?.leave();
      await run.advance(10_000);
      assert.equal(run.oracle.ownersOf(keyHash), []);
      assert.ok(run.region.entryVms.get('vm-0')?.assignment(SERVICE)?.releases.length === 1);
      tracking?.dispose();
      await run.advance(1_000);
      assert.is(run.oracle.ownersOf(keyHash).length, 1);
    }));

  it('releases its keys when an operator drains it, and owns keys again after the drain was removed', () =>
    runRegion(regionOptions, async (run) => {
      const drains = new DrainStore(run.region.platform.memory.table);
      const address = socketAddressOf(run.region.servers[1]?.address ?? '');
      await drains.set(address, true);
      await run.advance(DRAIN_MILLISECONDS);
      assert.equal(keysOf(run, 1), []);
      assertAllOwned(run);
      await drains.set(address, false);
      await run.advance(20_000);
      assert.ok(keysOf(run, 1).length > 0);
    }));

  it('loses its keys too when it fails during the ownership transfer', () =>
    runRegion(regionOptions, async (run) => {
      run.region.servers[0]?.leave();
      await run.advance(60);
      run.region.servers[0]?.kill();
      await run.advance(6_000);
      assert.is(
        run.oracle.keyHashes.filter((keyHash) => run.oracle.ownersOf(keyHash).length !== 1).length,
        0,
      );
    }));
});

describe('a planned shutdown of an entry VM', () => {
  it('leaves no key unowned, whichever roles the entry VM had', () =>
    runRegion(regionOptions, async (run) => {
      for (const id of ['vm-0', 'vm-1', 'vm-2']) {
        run.region.entryVms.get(id)?.leave();
        await run.advance(DRAIN_MILLISECONDS);
        const records = run.region.entryVms.get('vm-3')?.assignment(SERVICE)?.servers ?? [];
        assert.ok(records.every(({ renewers }) => renewers.every((renewer) => renewer.id !== id)));
        run.region.killEntryVm(id);
        await run.advance(DRAIN_MILLISECONDS);
        run.region.startEntryVm(id);
        await run.advance(DRAIN_MILLISECONDS);
      }
      assertAllOwned(run);
      assert.is(run.oracle.longestUnownedMilliseconds, 0);
    }));
});
