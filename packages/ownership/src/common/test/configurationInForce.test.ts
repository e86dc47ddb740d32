import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { PLATFORM } from './fakes/fakePlatform.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

/** Maximum time until an accepted configuration is active at every entry VM. */
const PROPAGATION_MILLISECONDS = 8_000;
const OPERATOR_COUNT = 5;

const regionOptions = {
  seed: 5,
  entryVmZones: ['a', 'a', 'b', 'b', 'c', 'c'],
  serverZones: ['a', 'b', 'c'],
  sliceCount: 6,
};

async function publishDeadline(run: RegionRun, before: number | undefined, after: number): Promise<number> {
  const file = (deadline: number | undefined) =>
    run.region.service(deadline === undefined ? {} : { deadlineMilliseconds: deadline });
  const published = run.region.publish(file(before), file(after));
  published.catch(() => undefined);
  await run.advance(200);
  return published;
}

function revisions({ region }: RegionRun): readonly number[] {
  return [...region.entryVms.values()].map(({ configuration }) => configuration.current?.revision ?? 0);
}

describe('an accepted configuration', () => {
  it('is active everywhere within 8 s', () =>
    runRegion(regionOptions, async (run) => {
      const revision = await publishDeadline(run, undefined, 700);
      await run.advance(PROPAGATION_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('is active everywhere within 8 s after an outage of the store, including restarted entry VMs', () =>
    runRegion(regionOptions, async (run) => {
      const revision = await publishDeadline(run, undefined, 700);
      run.region.platform.isUnavailable = true;
      run.region.killEntryVm('vm-1');
      run.region.startEntryVm('vm-1');
      await run.advance(PROPAGATION_MILLISECONDS);
      run.region.platform.isUnavailable = false;
      await run.advance(PROPAGATION_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('reaches an entry VM that is connected only to the store, and one that is connected only to its peers', () =>
    runRegion(regionOptions, async (run) => {
      run.region.entryVmIds.slice(1).forEach((id) => {
        run.region.network.partition('vm-0', id);
      });
      run.region.network.partition('vm-5', PLATFORM);
      await run.advance(2_000);
      const revision = await publishDeadline(run, undefined, 700);
      await run.advance(PROPAGATION_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('may be missing at an entry VM without contact to the store and its peers, which is then isolated', () =>
    runRegion(regionOptions, async (run) => {
      run.region.entryVmIds.slice(1).forEach((id) => {
        run.region.network.partition('vm-0', id);
      });
      run.region.network.partition('vm-0', PLATFORM);
      await run.advance(PROPAGATION_MILLISECONDS + 1_000);
      assert.is(run.region.entryVms.get('vm-0')?.isIsolated, true);
      assert.is(run.region.entryVms.get('vm-1')?.isIsolated, false);
      run.region.network.healAll();
      await run.advance(3_000);
      assert.is(run.region.entryVms.get('vm-0')?.isIsolated, false);
    }));

  it('stays active during an outage of the store alone', () =>
    runRegion(regionOptions, async (run) => {
      run.region.platform.isUnavailable = true;
      await run.advance(60_000, 100);
      assert.equal(
        [...run.region.entryVms.values()].filter(({ isIsolated }) => isIsolated),
        [],
      );
    }));

  it('is the only one accepted of concurrent publications with lost responses, and the same everywhere', () =>
    runRegion(regionOptions, async (run) => {
      const { region } = run;
      region.platform.lostResponses = 2;
      const publications = Array.from({ length: OPERATOR_COUNT }, (_unused, operator) =>
        region.publish(region.service(), region.service({ deadlineMilliseconds: 100 + operator })).then(
          (revision) => ({ operator, revision }),
          () => undefined,
        ),
      );
      await run.advance(3_000);
      const accepted = (await Promise.all(publications)).filter((result) => result !== undefined);
      await run.advance(PROPAGATION_MILLISECONDS);
      assert.is(accepted.length, 1);
      const deadlines = [...region.entryVms.values()].map(
        ({ configuration }) => configuration.current?.snapshot.services.at(0)?.deadlineMilliseconds,
      );
      assert.equal(deadlines, new Array(6).fill(100 + (accepted[0]?.operator ?? -1)));
    }));

  it('is never replaced by an older one that arrives later', () =>
    runRegion(regionOptions, async (run) => {
      const control = run.region.entryVms.get('vm-0');
      const older = control?.configuration.current;
      await publishDeadline(run, undefined, 700);
      await run.advance(PROPAGATION_MILLISECONDS);
      assert.ok(control);
      assert.ok(older);
      assert.is(control.configuration.applyIfNewer(older), false);
      assert.is(revisions(run)[0], 2);
    }));
});
