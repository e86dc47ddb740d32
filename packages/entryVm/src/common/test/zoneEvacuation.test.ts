import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type KeyOwnershipRig, withKeyOwnershipRig } from './fakes/keyOwnershipRig.js';

/** Time by which the keys of a zone have other owners: the moves take 1,000 ms to start. */
const MOVED_MILLISECONDS = 2_500;

/** Runs a scenario with servers in three zones: two in each of `zone-1` and `zone-2`, and four in `zone-3`. */
async function withZones(scenario: (rig: KeyOwnershipRig) => Promise<void>): Promise<void> {
  await withKeyOwnershipRig(
    async (rig) => {
      for (const [id, zone] of [
        ['server-1', 'zone-1'],
        ['server-2', 'zone-1'],
        ['server-3', 'zone-2'],
        ['server-4', 'zone-2'],
        ['server-5', 'zone-3'],
        ['server-6', 'zone-3'],
        ['server-7', 'zone-3'],
        ['server-8', 'zone-3'],
      ] as const) {
        rig.announce(id, 'ready', zone);
      }
      await rig.advance(10_000);
      await scenario(rig);
      assert.equal(rig.violations, []);
    },
    { watchesEvacuations: true },
  );
}

/** Servers of the rig that own sampled keys. */
function owners(rig: KeyOwnershipRig): ReadonlySet<string> {
  return new Set([...Array(256).keys()].flatMap((index) => rig.servers.holders(index * 256)));
}

function ownersIn(rig: KeyOwnershipRig, ...ids: readonly string[]): readonly string[] {
  return ids.filter((id) => owners(rig).has(id));
}

describe('the assigner', () => {
  describe('when a zone is evacuated', () => {
    it('moves all of its keys, and leaves none without an owner', async () => {
      await withZones(async (rig) => {
        assert.is(ownersIn(rig, 'server-1', 'server-2').length, 2);
        rig.evacuate('zone-1');
        await rig.advance(MOVED_MILLISECONDS);
        assert.equal(ownersIn(rig, 'server-1', 'server-2'), []);
        assert.equal(rig.unownedKeys(), []);
      });
    });

    it('gives its servers no keys while it is evacuated', async () => {
      await withZones(async (rig) => {
        rig.evacuate('zone-1');
        await rig.advance(MOVED_MILLISECONDS);
        rig.servers.servers.get('server-3')?.crash();
        rig.removeAnnouncement('server-3');
        await rig.advance(10_000);
        assert.equal(ownersIn(rig, 'server-1', 'server-2'), []);
        assert.equal(rig.unownedKeys(), []);
      });
    });

    it('gives its servers keys again when it is taken back', async () => {
      await withZones(async (rig) => {
        rig.evacuate('zone-1');
        await rig.advance(MOVED_MILLISECONDS);
        rig.endEvacuation('zone-1');
        for (let step = 0; step < 100; step += 1) {
          for (let key = 0; key < 65_536; key += 1_024) {
            rig.vms.get('vm-1')?.controller.recordRequest('catalogue', key);
          }
          await rig.advance(100);
        }
        assert.equal(ownersIn(rig, 'server-1', 'server-2'), ['server-1', 'server-2']);
        assert.equal(rig.unownedKeys(), []);
      });
    });

    it('starts no further moves when it is taken back halfway', async () => {
      await withZones(async (rig) => {
        rig.evacuate('zone-1');
        await rig.advance(80);
        rig.endEvacuation('zone-1');
        await rig.advance(3_000);
        assert.equal(rig.unownedKeys(), []);
        assert.is(ownersIn(rig, 'server-1', 'server-2').length, 1);
      });
    });
  });

  describe('when two zones are evacuated', () => {
    it('moves the keys of both to the third, at once or one after the other', async () => {
      for (const milliseconds of [0, 400]) {
        await withZones(async (rig) => {
          rig.evacuate('zone-1');
          await rig.advance(milliseconds);
          rig.evacuate('zone-2');
          await rig.advance(MOVED_MILLISECONDS);
          assert.equal(ownersIn(rig, 'server-1', 'server-2', 'server-3', 'server-4'), []);
          assert.equal(rig.unownedKeys(), []);
        });
      }
    });
  });

  describe('when all zones are evacuated', () => {
    it('leaves the keys with their owners, so that a zone taken back serves them', async () => {
      await withZones(async (rig) => {
        ['zone-1', 'zone-2', 'zone-3'].forEach((zone) => {
          rig.evacuate(zone);
        });
        await rig.advance(5_000);
        assert.equal(rig.unownedKeys(), []);
        rig.endEvacuation('zone-3');
        await rig.advance(5_000);
        assert.equal(ownersIn(rig, 'server-1', 'server-2', 'server-3', 'server-4'), []);
        assert.equal(rig.unownedKeys(), []);
      });
    });
  });

  describe('when the assigner fails halfway through an evacuation', () => {
    it('is replaced by one that moves the remaining keys', async () => {
      await withZones(async (rig) => {
        rig.evacuate('zone-1');
        await rig.advance(350);
        const [assigner] = rig.assigners;
        assert.ok(assigner);
        rig.kill(assigner);
        await rig.advance(8_000);
        assert.equal(ownersIn(rig, 'server-1', 'server-2'), []);
        assert.equal(rig.unownedKeys(), []);
      });
    });
  });

  describe('when the store is down right after the request', () => {
    it('goes on once the store is back', async () => {
      await withZones(async (rig) => {
        rig.evacuate('zone-1');
        await rig.advance(150);
        rig.store.setCondition({ kind: 'down' });
        await rig.advance(4_000);
        rig.store.setCondition({ kind: 'working' });
        await rig.advance(5_000);
        assert.equal(ownersIn(rig, 'server-1', 'server-2'), []);
        assert.equal(rig.unownedKeys(), []);
      });
    });
  });
});
