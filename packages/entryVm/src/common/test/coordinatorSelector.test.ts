import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type CoordinatorCandidate, CoordinatorSelector } from '../coordinatorSelector.js';

const DEPLOYMENTS = 100;
const LARGE_CORES = 1.35;
const SMALL_CORES = 0.2;

/** 15 large entry VMs among 195. */
function createEntryVms(deployment: number): readonly CoordinatorCandidate[] {
  return Array.from({ length: 195 }, (_unused, index) => ({
    id: `${deployment.toString()}-vm-${index.toString()}`,
    ipAddress: `10.0.0.${index.toString()}`,
    processorCores: index % 13 === 0 ? LARGE_CORES : SMALL_CORES,
  }));
}

function createSelector(entryVms: readonly CoordinatorCandidate[], index = 0): CoordinatorSelector {
  const self = entryVms[index];
  assert.ok(self);
  return new CoordinatorSelector(self, () => entryVms, silentLogger);
}

describe('CoordinatorSelector', () => {
  it('lets only large entry VMs coordinate a whole service, and different ones for different services', () => {
    const coordinators = new Set<string>();
    for (let deployment = 0; deployment < DEPLOYMENTS; deployment += 1) {
      const entryVms = createEntryVms(deployment);
      const selector = createSelector(entryVms);
      for (const service of ['circulation', 'uploads']) {
        const coordinator = selector.select({ service, serverId: undefined });
        assert.is(coordinator.processorCores, LARGE_CORES, coordinator.id);
        coordinators.add(coordinator.id);
      }
    }
    // Two services of a deployment share one of its 15 large entry VMs now and then.
    assert.ok(coordinators.size > 1.8 * DEPLOYMENTS, coordinators.size.toString());
  });

  it('selects the same coordinator on all entry VMs', () => {
    const entryVms = createEntryVms(1);
    const selected = entryVms.map(
      (_unused, index) =>
        createSelector(entryVms, index).select({ service: 'circulation', serverId: undefined }).id,
    );
    assert.is(new Set(selected).size, 1);
  });

  it('replaces a suspected coordinator of a whole service by another large entry VM', () => {
    const selector = createSelector(createEntryVms(1));
    const resource = { service: 'circulation', serverId: undefined };
    const first = selector.select(resource);
    selector.suspect(first, 'silent');
    const second = selector.select(resource);
    assert.is.not(second.id, first.id);
    assert.is(second.processorCores, LARGE_CORES);
  });

  it('spreads single servers over all entry VMs in proportion to their cores', () => {
    const selector = createSelector(createEntryVms(1));
    let largeCount = 0;
    const serverCount = 4_000;
    for (let number = 0; number < serverCount; number += 1) {
      const resource = { service: 'catalogue', serverId: `server-${number.toString()}` };
      largeCount += selector.select(resource).processorCores === LARGE_CORES ? 1 : 0;
    }
    const expectedShare = (15 * LARGE_CORES) / (15 * LARGE_CORES + 180 * SMALL_CORES);
    assert.ok(
      Math.abs(largeCount / serverCount - expectedShare) < 0.05,
      (largeCount / serverCount).toString(),
    );
  });
});
