import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { PLATFORM } from './fakes/fakePlatform.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

const SEEDS = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20];
const STEPS = 60;
const MINIMUM_STEP_MILLISECONDS = 20;
const MAXIMUM_STEP_MILLISECONDS = 2_500;
const RECOVERY_MILLISECONDS = 20_000;

type Fault = (run: RegionRun) => void | Promise<void>;

const faults: Readonly<Record<string, Fault>> = {
  partition: ({ region }) => {
    const endpoints = [...region.entryVmIds, ...region.servers.map(({ address }) => address), PLATFORM];
    const first = region.random.pick(endpoints);
    const second = region.random.pick(endpoints);
    if (first !== second) {
      region.network.partition(first, second);
    }
  },
  heal: ({ region }) => {
    region.network.healAll();
  },
  pauseServer: ({ region }) => {
    region.network.pause(region.random.pick(region.servers).address);
  },
  pauseEntryVm: ({ region }) => {
    region.network.pause(region.random.pick(region.entryVmIds));
  },
  resumeAll: ({ region }) => {
    resumeAll(region);
  },
  killServer: ({ region }) => {
    region.random.pick(region.servers).kill();
  },
  restartServer: ({ region }) => {
    region.random.pick(region.servers).restart();
  },
  stopServer: ({ region }) => {
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
    region.platform.isUnavailable = true;
  },
  outageEnds: ({ region }) => {
    region.platform.isUnavailable = false;
  },
  lostResponses: ({ region }) => {
    region.platform.lostResponses = region.random.integer(1, 3);
  },
};

function resumeAll(region: RegionRun['region']): void {
  [...region.entryVmIds, ...region.servers.map(({ address }) => address)].forEach((endpoint) => {
    region.network.resume(endpoint);
  });
}

async function recover(run: RegionRun): Promise<void> {
  const { region } = run;
  resumeAll(region);
  region.network.healAll();
  region.platform.isUnavailable = false;
  region.platform.lostResponses = 0;
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

async function runFaults(seed: number, supportsFencing: boolean): Promise<void> {
  const zones = { entryVmZones: ['a', 'b', 'c', 'a'], serverZones: ['a', 'b', 'c', 'a'] };
  await runRegion({ ...zones, seed, sliceCount: 12, supportsFencing }, async (run) => {
    for (let step = 0; step < STEPS; step += 1) {
      const name = run.region.random.pick(Object.keys(faults));
      await faults[name]?.(run);
      await run.advance(run.region.random.integer(MINIMUM_STEP_MILLISECONDS, MAXIMUM_STEP_MILLISECONDS));
    }
    await recover(run);
    const unowned = run.oracle.keyHashes.filter((key) => run.oracle.ownersOf(key).length !== 1);
    assert.equal(unowned, []);
  });
}

describe('exclusive ownership under random faults', () => {
  for (const seed of SEEDS) {
    it(`gives no key two owners and recovers, seed ${seed.toString()}`, () => runFaults(seed, true));
    it(`does the same for servers without fencing support, seed ${seed.toString()}`, () =>
      runFaults(seed, false));
  }
});
