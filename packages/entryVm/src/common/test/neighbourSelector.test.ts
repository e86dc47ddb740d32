import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { EntryVmRecord } from '../entryVmRegistry.js';
import { NeighbourSelector, selectReaders } from '../neighbourSelector.js';

const ZONES = ['a', 'b', 'c', 'd', 'e'];
const MAX_ATTEMPTS = 4;
/** Entry VMs with fast links, three in each availability zone. */
const FAST_LINKS = 15;

function createEntryVms(count: number): readonly EntryVmRecord[] {
  return Array.from({ length: count }, (_unused, index) => ({
    id: `vm-${index.toString()}`,
    ipAddress: `10.0.0.${index.toString()}`,
    incarnation: '1',
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    processorCores: index % 10 === 0 ? 1.35 : 0.2,
    linkMegabitsPerSecond: index % 10 === 0 ? 200 : 20,
  }));
}

describe('NeighbourSelector', () => {
  for (const count of [1, 3, 30, 195, 1_000]) {
    it(`spreads the reads of ${count.toString()} entry VMs and ends at the store`, () => {
      const entryVms = createEntryVms(count);
      const readsOf = new Map<string, number>();
      let crossZoneReads = 0;
      for (const entryVm of entryVms) {
        const selector = new NeighbourSelector(entryVm.id, () => entryVms);
        const first = selector.select(0);
        if (first !== undefined) {
          assert.is.not(first.id, entryVm.id);
          readsOf.set(first.id, (readsOf.get(first.id) ?? 0) + 1);
          crossZoneReads += first.availabilityZone === entryVm.availabilityZone ? 0 : 1;
        }
        const attempts = Array.from({ length: MAX_ATTEMPTS }, (_unused, attempt) => selector.select(attempt));
        assert.ok(attempts.includes(undefined), 'the store is read at last');
      }
      const perZone = count / ZONES.length;
      assert.ok(Math.max(0, ...readsOf.values()) <= perZone * 0.75 + 2 * ZONES.length);
      assert.ok(crossZoneReads <= 2 * ZONES.length);
    });
  }

  it('follows changes of the entry VMs', () => {
    let entryVms = createEntryVms(30);
    const selector = new NeighbourSelector('vm-3', () => entryVms);
    const first = selector.select(0);
    assert.ok(first);
    entryVms = entryVms.filter(({ id }) => id !== first.id);
    assert.is.not(selector.select(0)?.id, first.id);
  });

  it('lets only entry VMs with fast links send to many others', () => {
    for (let run = 0; run < 100; run += 1) {
      const entryVms = createEntryVms(195).map((entryVm, index) => ({
        ...entryVm,
        id: `${run.toString()}-${entryVm.id}`,
        linkMegabitsPerSecond: index < FAST_LINKS ? 200 : 20,
      }));
      const asked = entryVms.flatMap((entryVm) => {
        const selector = new NeighbourSelector(entryVm.id, () => entryVms);
        return Array.from({ length: MAX_ATTEMPTS }, (_unused, attempt) => selector.select(attempt)).filter(
          (neighbour) => neighbour !== undefined,
        );
      });
      for (const { id, linkMegabitsPerSecond } of [...selectReaders(entryVms), ...asked]) {
        assert.is(linkMegabitsPerSecond, 200, id);
      }
    }
  });

  it('lets the readers of the store differ from run to run only with the entry VMs', () => {
    const entryVms = createEntryVms(195);
    const ids = (list: readonly EntryVmRecord[]): readonly string[] =>
      selectReaders(list).map(({ id }) => id);
    assert.equal(ids(entryVms), ids([...entryVms].reverse()));
  });
});
