import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type KeyOwnershipRig, SERVICE, withKeyOwnershipRig } from './fakes/keyOwnershipRig.js';

const KEYS = [0, 8_191, 20_000, 32_768, 49_152, 65_535];
const ENTRY_VMS = 12;

function ownersSeenBy(rig: KeyOwnershipRig, id: string): readonly (string | undefined)[] {
  const owners = rig.vms.get(id)?.controller.owners;
  return KEYS.map((key) => owners?.ownerOf(SERVICE, key));
}

/** A silent neighbour, and the reads of the store after it. */
const MAX_START_MILLISECONDS = 600;

/** Lets all entry VMs lose power, and starts them again one after the other. */
async function restartAll(
  rig: KeyOwnershipRig,
  order: (ids: readonly string[]) => readonly string[],
  gapMilliseconds: number,
): Promise<void> {
  const ids = [...rig.vms.keys()];
  ids.forEach((id) => {
    rig.kill(id);
  });
  await rig.advance(1_000);
  rig.trace.length = 0;
  for (const id of order(ids)) {
    rig.startVm(id);
    await rig.advance(gapMilliseconds);
  }
}

/** Starts entry VMs one after the other, and measures how long each takes until it serves, in milliseconds. */
async function measureStarts(
  rig: KeyOwnershipRig,
  ids: readonly string[],
  gapMilliseconds: number,
): Promise<ReadonlyMap<string, number>> {
  const durations = new Map<string, number>();
  const stepMilliseconds = 10;
  for (let elapsed = 0; elapsed < ids.length * gapMilliseconds + 3_000; elapsed += stepMilliseconds) {
    const next = elapsed % gapMilliseconds === 0 ? ids[elapsed / gapMilliseconds] : undefined;
    if (next !== undefined) {
      rig.startVm(next);
    }
    await rig.advance(stepMilliseconds);
    for (const { id, controller } of rig.vms.values()) {
      if (controller.isReady && !durations.has(id)) {
        durations.set(id, elapsed + stepMilliseconds - ids.indexOf(id) * gapMilliseconds);
      }
    }
  }
  return durations;
}

describe('When all entry VMs lose power and return', () => {
  for (const { name, order, gapMilliseconds } of [
    { name: 'at once', order: (ids: readonly string[]) => ids, gapMilliseconds: 0 },
    {
      name: 'one after the other, those first that read the copies of others',
      order: (ids: readonly string[]) => [...ids].reverse(),
      gapMilliseconds: 150,
    },
    {
      name: 'one after the other, in the order of their IDs',
      order: (ids: readonly string[]) => ids,
      gapMilliseconds: 150,
    },
  ]) {
    it(`leaves all keys with the servers that hold them, ${name}`, async () => {
      await withKeyOwnershipRig(async (rig) => {
        for (let number = 4; number <= ENTRY_VMS; number += 1) {
          rig.startVm(`vm-${number.toString()}`);
        }
        await rig.advance(3_000);
        const before = ownersSeenBy(rig, 'vm-1');
        assert.ok(before.every((owner) => owner !== undefined));
        await restartAll(rig, order, gapMilliseconds);
        await rig.advance(6_000);
        assert.equal(
          rig.trace.filter((line) => line.includes('lease-revoked')),
          [],
        );
        for (const id of rig.vms.keys()) {
          assert.equal(ownersSeenBy(rig, id), before, id);
        }
        assert.equal(rig.unownedKeys(), []);
        assert.equal(rig.violations, []);
      });
    });
  }

  for (const { name, isReversed } of [
    { name: 'the first ones read the store', isReversed: false },
    { name: 'the first ones read neighbours that have no power', isReversed: true },
  ]) {
    it(`lets each serve within ${MAX_START_MILLISECONDS.toString()} ms of its start when ${name}`, async () => {
      await withKeyOwnershipRig(async (rig) => {
        for (let number = 4; number <= ENTRY_VMS; number += 1) {
          rig.startVm(`vm-${number.toString()}`);
        }
        await rig.advance(3_000);
        const ids = [...rig.vms.keys()];
        ids.forEach((id) => {
          rig.kill(id);
        });
        await rig.advance(1_000);
        const durations = await measureStarts(rig, isReversed ? ids.reverse() : ids, 150);
        assert.is(durations.size, ENTRY_VMS);
        for (const [id, milliseconds] of durations) {
          assert.ok(milliseconds <= MAX_START_MILLISECONDS, `${id}: ${milliseconds.toString()} ms`);
        }
      });
    });
  }
});
