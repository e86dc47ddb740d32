import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type { StoreCondition } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type KeyAssignerRig, withKeyAssignerRig } from './fakes/keyAssignerRig.js';

const SERVER_IDS = ['server-1', 'server-2', 'server-3', 'server-4', 'server-5'];
const PROPERTY_SEED = 20_261_206;
const PROPERTY_RUNS = 40;

/** Lets one server leave, so that another one gets its keys beside its own and owns two adjacent ranges. */
async function createAdjacentRanges(rig: KeyAssignerRig): Promise<string> {
  await rig.advance(5_000);
  rig.register('server-2', 'leaving');
  await rig.advance(1_000);
  rig.unregister('server-2');
  await rig.advance(1_000);
  const [owner] = rig.ownersOfAdjacentRanges();
  assert.ok(owner, 'no server owns two adjacent ranges');
  return owner;
}

/** A server leaves while the store is disturbed, and another one is cut off or late around the end of that. */
interface Episode {
  readonly leavingId: string;
  readonly disturbedId: string;
  readonly disturbance: 'cut-off' | 'late' | 'restart';
  readonly storeCondition: StoreCondition;
  readonly untilOutage: number;
  readonly untilDisturbance: number;
  readonly untilStoreWorks: number;
  readonly untilEnd: number;
}

const milliseconds = (max: number): fc.Arbitrary<number> => fc.integer({ min: 0, max });
const episode: fc.Arbitrary<Episode> = fc.record({
  leavingId: fc.constantFrom(...SERVER_IDS),
  disturbedId: fc.constantFrom(...SERVER_IDS),
  disturbance: fc.constantFrom('cut-off' as const, 'late' as const, 'restart' as const),
  storeCondition: fc.constantFrom<StoreCondition>(
    { kind: 'down' },
    { kind: 'down' },
    { kind: 'slow', answerMilliseconds: 1_500 },
    { kind: 'responses-lost', appliedAfterMilliseconds: 2_500 },
  ),
  untilOutage: milliseconds(60),
  untilDisturbance: milliseconds(6_000),
  untilStoreWorks: milliseconds(1_000),
  untilEnd: milliseconds(7_000),
});

async function play(rig: KeyAssignerRig, one: Episode): Promise<void> {
  rig.register(one.leavingId, 'leaving');
  await rig.advance(one.untilOutage);
  rig.store.setCondition(one.storeCondition);
  await rig.advance(one.untilDisturbance);
  const server = rig.servers.servers.get(one.disturbedId);
  assert.ok(server);
  switch (one.disturbance) {
    case 'cut-off':
      rig.setCutOff(one.disturbedId, true);
      break;
    case 'late':
      server.condition = { kind: 'late', appliedAfterMilliseconds: 900 };
      break;
    case 'restart':
      server.restart();
      rig.register(one.disturbedId);
  }
  await rig.advance(one.untilStoreWorks);
  rig.store.setCondition({ kind: 'working' });
  await rig.advance(one.untilEnd);
  rig.setCutOff(one.disturbedId, false);
  server.condition = { kind: 'answering' };
  rig.register(one.leavingId, 'ready');
}

describe('KeyAssigner', () => {
  describe('when a write that merges ranges waits for the store', () => {
    it('frees no key while a renewal sent in the meantime may still hold', async () => {
      await withKeyAssignerRig(SERVER_IDS, async (rig) => {
        const cutOff = await createAdjacentRanges(rig);
        const leaving = SERVER_IDS.find((id) => id !== cutOff && id !== 'server-2') ?? '';
        await rig.advance(270);
        rig.register(leaving, 'leaving');
        rig.store.setCondition({ kind: 'down' });
        await rig.advance(4_500);
        rig.setCutOff(cutOff, true);
        await rig.advance(250);
        rig.store.setCondition({ kind: 'working' });
        await rig.advance(6_000);
        assert.equal(rig.violations, [], rig.trace.join('\n'));
      });
    });
  });

  describe('when a write takes longer than an owner may go without a confirmation', () => {
    it('does not consider the new owners unresponsive', async () => {
      await withKeyAssignerRig(SERVER_IDS, async (rig) => {
        await rig.advance(5_000);
        rig.register('server-2', 'leaving');
        rig.store.setCondition({ kind: 'down' });
        await rig.advance(2_500);
        rig.store.setCondition({ kind: 'working' });
        await rig.advance(1_000);
        assert.not.match(rig.trace.join('\n'), 'server unresponsive');
      });
    });
  });

  describe('when the registry names a former incarnation of an owner, at another address', () => {
    it('frees none of the keys that the present one holds', async () => {
      await withKeyAssignerRig(SERVER_IDS, async (rig) => {
        await rig.advance(5_000);
        rig.servers.servers.get('server-1')?.restart();
        rig.register('server-1');
        await rig.advance(2_000);
        const revocations = rig.trace.filter((line) => line.includes('lease-revoked')).length;
        rig.registerFormer('server-1');
        rig.register('server-2', 'leaving');
        await rig.advance(6_000);
        assert.equal(rig.violations, [], rig.trace.join('\n'));
        const later = rig.trace.filter((line) => line.includes('lease-revoked')).slice(revocations);
        assert.ok(
          later.length > 0 && later.every((line) => line.includes('server leaving')),
          later.join('\n'),
        );
      });
    });
  });

  describe('when a zone is evacuated of which a part does not respond', () => {
    it('plans no moves that cannot start', async () => {
      await withKeyAssignerRig(SERVER_IDS, async (rig) => {
        await rig.advance(5_000);
        rig.setCutOff('server-1', true);
        await rig.advance(2_000);
        rig.register('server-1', 'evacuated');
        rig.register('server-2', 'evacuated');
        await rig.advance(1_500);
        const planned = rig.trace
          .filter((line) => line.includes(' evacuation-round '))
          .map((line) => Number(/"moves":(\d+)/.exec(line)?.[1]))
          .reduce((sum, moves) => sum + moves, 0);
        const started = rig.trace.filter((line) => line.includes('ownership transfer')).length;
        assert.is(planned, started, rig.trace.join('\n'));
        assert.ok(rig.assigner.leases.every(({ range }) => range.ownerId !== 'server-2'));
      });
    });
  });

  describe('when a key gets many times the requests that its owner serves', () => {
    it('gives it to the fastest server within two seconds, once, and to no two servers', async () => {
      await withKeyAssignerRig(SERVER_IDS, async (rig) => {
        await rig.advance(5_000);
        const key = rig.assigner.leases.find(({ range }) => range.ownerId === 'server-1')?.range.from ?? 0;
        rig.register('server-3', 'ready', 40);
        rig.traffic = { sortedKeys: Array.from({ length: 200 }, () => key), seconds: 1 };
        await rig.advance(2_000);
        const owner = (): string | undefined =>
          rig.assigner.leases.find(({ range }) => range.from <= key && key <= range.to)?.range.ownerId;
        assert.is(owner(), 'server-3', rig.trace.join('\n'));
        rig.register('server-4', 'ready', 80);
        await rig.advance(3_000);
        assert.is(owner(), 'server-3');
        assert.is(rig.trace.filter((line) => line.includes(' hot-key-moved ')).length, 1);
        assert.equal(rig.violations, []);
      });
    });
  });

  describe('under random orders of renewals and of delayed and retried writes', () => {
    it('gives no key two holders', async () => {
      await fc.assert(
        fc.asyncProperty(fc.array(episode, { minLength: 1, maxLength: 4 }), async (episodes) => {
          await withKeyAssignerRig(SERVER_IDS, async (rig) => {
            await createAdjacentRanges(rig);
            for (const one of episodes) {
              await play(rig, one);
            }
            await rig.advance(6_000);
            assert.equal(rig.violations, [], rig.trace.join('\n'));
          });
        }),
        { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS, endOnFailure: true },
      );
    });
  });
});
