import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { PLATFORM } from './fakes/fakePlatform.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

const SEEDS = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20];
const STEPS = 60;
const SHORTEST_STEP_MILLISECONDS = 20;
const LONGEST_STEP_MILLISECONDS = 2_500;
const RECOVERY_MILLISECONDS = 20_000;

type Fault = (run: RegionRun) => void | Promise<void>;

const faults: Readonly<Record<string, Fault>> = {
  cut: ({ region }) => {
    const ends = [...region.entryVmIds, ...region.servers.map(({ address }) => address), PLATFORM];
    const left = region.random.pick(ends);
    const right = region.random.pick(ends);
    if (left !== right) {
      region.network.cut(left, right);
    }
  },
  mend: ({ region }) => {
    region.network.mendAll();
  },
  freezeServer: ({ region }) => {
    region.network.freeze(region.random.pick(region.servers).address);
  },
  freezeEntryVm: ({ region }) => {
    region.network.freeze(region.random.pick(region.entryVmIds));
  },
  thawAll: ({ region }) => {
    thawAll(region);
  },
  killServer: ({ region }) => {
    region.random.pick(region.servers).kill();
  },
  restartServer: ({ region }) => {
    region.random.pick(region.servers).restart();
  },
  leavingServer: ({ region }) => {
    region.random.pick(region.servers).leave();
  },
  killEntryVm: ({ region }) => {
    region.killEntryVm(region.random.pick(region.entryVmIds));
  },
  restartEntryVm: ({ region }) => {
    const id = region.random.pick(region.entryVmIds);
    region.killEntryVm(id);
    region.startEntryVm(id);
  },
  outage: ({ region }) => {
    region.platform.isDown = true;
  },
  outageEnds: ({ region }) => {
    region.platform.isDown = false;
  },
  lostAnswers: ({ region }) => {
    region.platform.lostAnswers = region.random.integer(1, 3);
  },
};

function thawAll(region: RegionRun['region']): void {
  [...region.entryVmIds, ...region.servers.map(({ address }) => address)].forEach((end) => {
    region.network.thaw(end);
  });
}

async function recover(run: RegionRun): Promise<void> {
  const { region } = run;
  thawAll(region);
  region.network.mendAll();
  region.platform.isDown = false;
  region.platform.lostAnswers = 0;
  region.servers.forEach((server) => {
    if (!server.isUp || server.isLeaving) {
      server.restart();
    }
  });
  region.entryVmIds
    .filter((id) => !region.entryVms.has(id))
    .forEach((id) => {
      region.startEntryVm(id);
    });
  await run.advance(RECOVERY_MILLISECONDS);
}

async function runFaults(seed: number, checksFences: boolean): Promise<void> {
  const zones = { entryVmZones: ['a', 'b', 'c', 'a'], serverZones: ['a', 'b', 'c', 'a'] };
  await runRegion({ ...zones, seed, sliceCount: 12, checksFences }, async (run) => {
    for (let step = 0; step < STEPS; step += 1) {
      const name = run.region.random.pick(Object.keys(faults));
      await faults[name]?.(run);
      await run.advance(run.region.random.integer(SHORTEST_STEP_MILLISECONDS, LONGEST_STEP_MILLISECONDS));
    }
    await recover(run);
    const unowned = run.oracle.keyHashes.filter((key) => run.oracle.ownersOf(key).length !== 1);
    assert.equal(unowned, []);
  });
}

describe('sole ownership under random faults', () => {
  for (const seed of SEEDS) {
    it(`never shows two owners and recovers, seed ${seed.toString()}`, () => runFaults(seed, true));
    it(`holds for servers that check no fences, seed ${seed.toString()}`, () => runFaults(seed, false));
  }
});
