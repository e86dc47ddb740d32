import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { DrainStore } from '../drainStore.js';
import { PLATFORM } from './fakes/fakePlatform.js';
import { SERVICE, socketAddressOf } from './fakes/fakeRegion.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

const SLICE_COUNT = 24;
/** Maximum time for which a key may be unowned after a failure. */
const RECOVERY_MILLISECONDS = 3_000;

const regionOptions = {
  seed: 1,
  entryVmZones: ['a', 'a', 'b', 'b', 'c', 'c'],
  serverZones: ['a', 'b', 'c', 'a', 'b', 'c'],
  sliceCount: SLICE_COUNT,
};

function countUnownedKeys({ oracle }: RegionRun): number {
  return oracle.keyHashes.filter((keyHash) => oracle.ownersOf(keyHash).length === 0).length;
}

function findAssignerId({ region }: RegionRun, group: string = SERVICE): string {
  const found = [...region.entryVms].find(([, control]) =>
    control.groups.some(({ follower, assigner }) => follower.group === group && assigner !== undefined),
  );
  return found?.[0] ?? 'none';
}

function findOwnerOfFirstKey({ oracle, region }: RegionRun) {
  const address = oracle.ownersOf(oracle.keyHashes[0] ?? '')[0];
  const server = region.servers.find(
    (other) => other.address === address || socketAddressOf(other.address) === address,
  );
  if (server === undefined) {
    throw new RangeError('the first key has no owner');
  }
  return server;
}

describe('exclusive ownership', () => {
  describe('without faults', () => {
    it('gives every key one owner', () =>
      runRegion(regionOptions, (run) => {
        assert.is(countUnownedKeys(run), 0);
        return Promise.resolve();
      }));
  });

  describe('failure of a server', () => {
    it('leaves its keys unowned for at most 3 s', () =>
      runRegion(regionOptions, async (run) => {
        findOwnerOfFirstKey(run).kill();
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
        assert.ok(run.oracle.longestUnownedMilliseconds <= RECOVERY_MILLISECONDS);
      }));

    it('leaves its keys unowned for at most 3 s when the assigner fails with it', () =>
      runRegion(regionOptions, async (run) => {
        findOwnerOfFirstKey(run).kill();
        run.region.killEntryVm(findAssignerId(run));
        await run.advance(8_000);
        assert.is(countUnownedKeys(run), 0);
        assert.ok(run.oracle.longestUnownedMilliseconds <= RECOVERY_MILLISECONDS);
      }));

    it('leaves its keys unowned for at most 3 s when its whole availability zone fails', () =>
      runRegion(regionOptions, async (run) => {
        run.region.servers
          .filter(({ availabilityZone }) => availabilityZone === 'a')
          .forEach((server) => {
            server.kill();
          });
        run.region.killEntryVm('vm-0');
        run.region.killEntryVm('vm-1');
        await run.advance(8_000);
        assert.is(countUnownedKeys(run), 0);
        assert.ok(run.oracle.longestUnownedMilliseconds <= RECOVERY_MILLISECONDS);
      }));

    it('leaves no key unowned after a quick restart', () =>
      runRegion(regionOptions, async (run) => {
        const server = findOwnerOfFirstKey(run);
        server.kill();
        await run.advance(100);
        server.restart();
        await run.advance(3_000);
        assert.is(countUnownedKeys(run), 0);
      }));
  });

  describe('a paused server', () => {
    it('has lost its keys when it resumes', () =>
      runRegion(regionOptions, async (run) => {
        const server = findOwnerOfFirstKey(run);
        run.region.network.pause(server.address);
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
        run.region.network.resume(server.address);
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
      }));
  });

  describe('failure of a renewer', () => {
    it('leaves no key unowned', () =>
      runRegion(regionOptions, async (run) => {
        run.region.killEntryVm('vm-2');
        await run.advance(6_000);
        assert.is(run.oracle.longestUnownedMilliseconds, 0);
      }));

    it('delays the transfer of keys from a server that fails with it until an operator confirms its loss', () =>
      runRegion(regionOptions, async (run) => {
        const server = findOwnerOfFirstKey(run);
        const control = [...run.region.entryVms.values()][0];
        const record = control
          ?.assignment(SERVICE)
          ?.servers.find(({ address }) => address.startsWith(`10.0.0.${server.address.replace(/\D/g, '')}:`));
        const renewer = record?.renewers[0];
        assert.ok(renewer);
        server.kill();
        run.region.killEntryVm(renewer.id);
        await run.advance(10_000);
        assert.ok(countUnownedKeys(run) > 0);
        for (const other of run.region.entryVms.values()) {
          other.confirmLost({ entryVmId: renewer.id, incarnation: renewer.incarnation });
        }
        await run.advance(RECOVERY_MILLISECONDS);
        assert.is(countUnownedKeys(run), 0);
      }));

    it('allows the transfer of keys once the failed entry VM has restarted as a new incarnation', () =>
      runRegion(regionOptions, async (run) => {
        const server = findOwnerOfFirstKey(run);
        server.kill();
        run.region.killEntryVm('vm-4');
        run.region.killEntryVm('vm-5');
        await run.advance(5_000);
        run.region.startEntryVm('vm-4');
        run.region.startEntryVm('vm-5');
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
      }));
  });

  describe('outage of the store', () => {
    it('takes no key from a running server for an hour', () =>
      runRegion(
        { ...regionOptions, sliceCount: 2, serverZones: ['a'], entryVmZones: ['b', 'c'] },
        async (run) => {
          run.region.platform.isUnavailable = true;
          await run.advance(3_600_000, 200);
          assert.is(run.oracle.longestUnownedMilliseconds, 0);
        },
      ));

    it('takes no key when the assigner fails during the outage', () =>
      runRegion(regionOptions, async (run) => {
        run.region.platform.isUnavailable = true;
        run.region.killEntryVm(findAssignerId(run));
        await run.advance(20_000);
        assert.is(run.oracle.longestUnownedMilliseconds, 0);
        run.region.platform.isUnavailable = false;
        findOwnerOfFirstKey(run).kill();
        await run.advance(8_000);
        assert.is(countUnownedKeys(run), 0);
      }));

    it('lets a restarted entry VM fetch the state from a peer', () =>
      runRegion(regionOptions, async (run) => {
        run.region.platform.isUnavailable = true;
        run.region.killEntryVm('vm-3');
        const restarted = run.region.startEntryVm('vm-3');
        await run.advance(5_000);
        assert.is(restarted.configuration.current?.revision, 1);
        assert.ok(restarted.assignment(SERVICE));
      }));
  });

  describe('partition', () => {
    it('between the assigner and every other entry VM leads to no second owner', () =>
      runRegion(regionOptions, async (run) => {
        const assigner = findAssignerId(run);
        run.region.entryVmIds
          .filter((id) => id !== assigner)
          .forEach((id) => {
            run.region.network.partition(assigner, id);
          });
        await run.advance(10_000);
        run.region.network.healAll();
        await run.advance(5_000);
        assert.is(countUnownedKeys(run), 0);
      }));

    it('between a server and its renewers moves its keys', () =>
      runRegion(regionOptions, async (run) => {
        const server = findOwnerOfFirstKey(run);
        run.region.entryVmIds.forEach((id) => {
          run.region.network.partition(id, server.address);
        });
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
      }));

    for (let healAfter = 600; healAfter <= 1_800; healAfter += 100) {
      it(`that heals after ${healAfter.toString()} ms leads to no second owner`, () =>
        runRegion(regionOptions, async (run) => {
          const server = findOwnerOfFirstKey(run);
          run.region.entryVmIds.forEach((id) => {
            run.region.network.partition(id, server.address);
          });
          await run.advance(healAfter);
          run.region.network.healAll();
          await run.advance(4_000);
          assert.is(countUnownedKeys(run), 0);
        }));
    }

    it('between the assigner and the store does not prevent the transfer of keys', () =>
      runRegion(regionOptions, async (run) => {
        run.region.network.partition(findAssignerId(run), PLATFORM);
        findOwnerOfFirstKey(run).kill();
        await run.advance(15_000);
        assert.is(countUnownedKeys(run), 0);
      }));
  });

  describe('of servers without fencing support', () => {
    const withoutFencing = { ...regionOptions, supportsFencing: false };

    it('moves the keys of a failed server within 3 s', () =>
      runRegion(withoutFencing, async (run) => {
        findOwnerOfFirstKey(run).kill();
        await run.advance(6_000);
        assert.is(countUnownedKeys(run), 0);
        assert.ok(run.oracle.longestUnownedMilliseconds <= RECOVERY_MILLISECONDS);
      }));

    it('lets no entry VM send to a drained server while others send to its successor', () =>
      runRegion(withoutFencing, async (run) => {
        const stale = run.region.entryVmIds.find((id) => id !== findAssignerId(run)) ?? '';
        run.region.network.partition(stale, findAssignerId(run));
        run.region.network.partition(stale, PLATFORM);
        const address = socketAddressOf(findOwnerOfFirstKey(run).address);
        await new DrainStore(run.region.platform.memory.table).set(address, true);
        await run.advance(8_000);
        assert.is(countUnownedKeys(run), 0);
        assert.not(run.oracle.keyHashes.some((keyHash) => run.oracle.ownersOf(keyHash).includes(address)));
      }));

    it('grants no route lease to an entry VM that reconnects with an older assignment', () =>
      runRegion(withoutFencing, async (run) => {
        const { region } = run;
        const stale = region.entryVmIds.find((id) => id !== findAssignerId(run)) ?? '';
        const others = region.entryVmIds.filter((id) => id !== stale);
        [...others, PLATFORM].forEach((endpoint) => {
          region.network.partition(stale, endpoint);
        });
        const records = region.entryVms.get(stale)?.assignment(SERVICE)?.servers ?? [];
        const otherServer = records.find(({ renewers }) => renewers.every(({ id }) => id !== stale));
        const address = otherServer?.address ?? '';
        await run.advance(2_500);
        await new DrainStore(region.platform.memory.table).set(address, true);
        await run.advance(4_000);
        others
          .filter((id) => id !== findAssignerId(run))
          .forEach((id) => {
            region.network.heal(stale, id);
          });
        await run.advance(4_000);
        assert.is(countUnownedKeys(run), 0);
      }));

    it('moves the keys of a failed server although an entry VM knows only an older assignment', () =>
      runRegion(withoutFencing, async (run) => {
        const stale = run.region.entryVmIds.find((id) => id !== findAssignerId(run)) ?? '';
        run.region.network.partition(stale, findAssignerId(run));
        run.region.network.partition(stale, PLATFORM);
        findOwnerOfFirstKey(run).kill();
        await run.advance(8_000);
        assert.is(countUnownedKeys(run), 0);
      }));
  });
});
