import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { PLATFORM } from './fakes/fakePlatform.js';
import { type RegionRun, runRegion } from './fakes/runRegion.js';

/** Promise of the target: an accepted configuration is in force everywhere within this time. */
const IN_FORCE_MILLISECONDS = 8_000;
const OPERATORS = 5;

const shape = {
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
  it('is in force everywhere within 8 s', () =>
    runRegion(shape, async (run) => {
      const revision = await publishDeadline(run, undefined, 700);
      await run.advance(IN_FORCE_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('is in force within 8 s of the end of an outage, at restarted entry VMs too', () =>
    runRegion(shape, async (run) => {
      const revision = await publishDeadline(run, undefined, 700);
      run.region.platform.isDown = true;
      run.region.killEntryVm('vm-1');
      run.region.startEntryVm('vm-1');
      await run.advance(IN_FORCE_MILLISECONDS);
      run.region.platform.isDown = false;
      await run.advance(IN_FORCE_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('reaches an entry VM that hears only the store, and one that hears only its peers', () =>
    runRegion(shape, async (run) => {
      run.region.entryVmIds.slice(1).forEach((id) => {
        run.region.network.cut('vm-0', id);
      });
      run.region.network.cut('vm-5', PLATFORM);
      await run.advance(2_000);
      const revision = await publishDeadline(run, undefined, 700);
      await run.advance(IN_FORCE_MILLISECONDS);
      assert.equal(revisions(run), new Array(6).fill(revision));
    }));

  it('is not outlived by an entry VM that hears nobody: it stops claiming to be ready', () =>
    runRegion(shape, async (run) => {
      run.region.entryVmIds.slice(1).forEach((id) => {
        run.region.network.cut('vm-0', id);
      });
      run.region.network.cut('vm-0', PLATFORM);
      await run.advance(IN_FORCE_MILLISECONDS + 1_000);
      assert.is(run.region.entryVms.get('vm-0')?.isIsolated, true);
      assert.is(run.region.entryVms.get('vm-1')?.isIsolated, false);
      run.region.network.mendAll();
      await run.advance(3_000);
      assert.is(run.region.entryVms.get('vm-0')?.isIsolated, false);
    }));

  it('stays in force during an outage of the store alone', () =>
    runRegion(shape, async (run) => {
      run.region.platform.isDown = true;
      await run.advance(60_000, 100);
      assert.equal(
        [...run.region.entryVms.values()].filter(({ isIsolated }) => isIsolated),
        [],
      );
    }));

  it('is one of the racing ones, the same everywhere, and each operator is told the truth', () =>
    runRegion(shape, async (run) => {
      const { region } = run;
      region.platform.lostAnswers = 2;
      const races = Array.from({ length: OPERATORS }, (_unused, operator) =>
        region.publish(region.service(), region.service({ deadlineMilliseconds: 100 + operator })).then(
          (revision) => ({ operator, revision }),
          () => undefined,
        ),
      );
      await run.advance(3_000);
      const accepted = (await Promise.all(races)).filter((result) => result !== undefined);
      await run.advance(IN_FORCE_MILLISECONDS);
      assert.is(accepted.length, 1);
      const deadlines = [...region.entryVms.values()].map(
        ({ configuration }) => configuration.current?.snapshot.services.at(0)?.deadlineMilliseconds,
      );
      assert.equal(deadlines, new Array(6).fill(100 + (accepted[0]?.operator ?? -1)));
    }));

  it('is never replaced by an older one that arrives late', () =>
    runRegion(shape, async (run) => {
      const control = run.region.entryVms.get('vm-0');
      const older = control?.configuration.current;
      await publishDeadline(run, undefined, 700);
      await run.advance(IN_FORCE_MILLISECONDS);
      assert.ok(control);
      assert.ok(older);
      assert.is(control.configuration.applyIfNewer(older), false);
      assert.is(revisions(run)[0], 2);
    }));
});
