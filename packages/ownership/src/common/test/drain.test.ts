import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { DrainStore } from '../drainStore.js';
import { addressOnWire, SERVICE } from './fakes/fakeRegion.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

/** A leaving server receives no new work after this time. */
const FEW_SECONDS_MILLISECONDS = 4_000;
/** Longest time for which a key may be without an owner during a planned hand-over. */
const PLANNED_HAND_OVER_MILLISECONDS = 1_000;

const shape = {
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
  assert.ok(oracle.longestUnownedMilliseconds <= PLANNED_HAND_OVER_MILLISECONDS);
}

describe('a leaving server', () => {
  it('owns nothing after a few seconds, and no key is without an owner for long', () =>
    runRegion(shape, async (run) => {
      run.region.servers[0]?.leave();
      await run.advance(FEW_SECONDS_MILLISECONDS);
      assert.equal(keysOf(run, 0), []);
      assertAllOwned(run);
    }));

  it('keeps a key until its request in flight has ended', () =>
    runRegion(shape, async (run) => {
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

  it("is drained on an operator's word, and taken back in", () =>
    runRegion(shape, async (run) => {
      const drains = new DrainStore(run.region.platform.memory.table);
      const address = addressOnWire(run.region.servers[1]?.address ?? '');
      await drains.set(address, true);
      await run.advance(FEW_SECONDS_MILLISECONDS);
      assert.equal(keysOf(run, 1), []);
      assertAllOwned(run);
      await drains.set(address, false);
      await run.advance(20_000);
      assert.ok(keysOf(run, 1).length > 0);
    }));

  it('that is lost in the middle of the hand-over gives its keys up too', () =>
    runRegion(shape, async (run) => {
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

describe('a planned stop of an entry VM', () => {
  it('takes no key from a server, whatever the entry VM did', () =>
    runRegion(shape, async (run) => {
      for (const id of ['vm-0', 'vm-1', 'vm-2']) {
        run.region.entryVms.get(id)?.leave();
        await run.advance(FEW_SECONDS_MILLISECONDS);
        const records = run.region.entryVms.get('vm-3')?.assignment(SERVICE)?.servers ?? [];
        assert.ok(records.every(({ renewers }) => renewers.every((renewer) => renewer.id !== id)));
        run.region.killEntryVm(id);
        await run.advance(FEW_SECONDS_MILLISECONDS);
        run.region.startEntryVm(id);
        await run.advance(FEW_SECONDS_MILLISECONDS);
      }
      assertAllOwned(run);
      assert.is(run.oracle.longestUnownedMilliseconds, 0);
    }));
});
