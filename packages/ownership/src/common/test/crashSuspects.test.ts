import * as assert from 'uvu/assert';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { CrashExchange } from '../crashExchange.js';
import { runRegion } from './fakes/runRegion.js';

const FINGERPRINT = 'crash';
const LOSS_LIMIT = 3;
const RESTART_MILLISECONDS = 5_000;

/** Exchanges of processes, each of which has counted the given losses of one request. */
class Exchanges {
  readonly lossesByProcess = new Map<string, number>();
  /** Requests that the newest process of each entry VM refuses. */
  readonly refused = new Map<string, readonly string[]>();

  create(entryVm: string, incarnation: string): CrashExchange {
    this.refused.set(entryVm, []);
    return {
      onDidRecordLoss: new Emitter<void>().event,
      report: (): readonly CrashSuspect[] => {
        const losses = this.lossesByProcess.get(incarnation) ?? 0;
        return losses === 0 ? [] : [{ fingerprint: FINGERPRINT, losses }];
      },
      findCrashingRequests: (suspects) => {
        const losses = suspects.flat().reduce((sum, suspect) => sum + suspect.losses, 0);
        return losses >= LOSS_LIMIT ? [FINGERPRINT] : [];
      },
      setRefusedFingerprints: (fingerprints) => {
        this.refused.set(entryVm, fingerprints);
      },
    };
  }
}

async function withLosses(
  scenario: (exchanges: Exchanges, restart: (index: number) => Promise<void>) => Promise<void>,
): Promise<void> {
  const exchanges = new Exchanges();
  const options = {
    seed: 5,
    entryVmZones: ['a', 'b', 'c', 'a'],
    serverZones: ['a', 'b'],
    sliceCount: 8,
    crashExchange: (entryVm: string, incarnation: string) => exchanges.create(entryVm, incarnation),
  };
  await runRegion(options, async (run) => {
    const { region } = run;
    const groups = [...region.entryVms].map(([id, control]) => ({
      id,
      incarnation: control.self.incarnation,
      isAssigner: control.groups.some(({ assigner }) => assigner !== undefined),
    }));
    const [first, second] = groups.filter(({ isAssigner }) => !isAssigner);
    assert.ok(first && second);
    exchanges.lossesByProcess.set(first.incarnation, 2).set(second.incarnation, 1);
    await run.advance(1_000);
    assert.ok([...exchanges.refused.values()].every((refused) => refused.includes(FINGERPRINT)));
    await scenario(exchanges, async (index) => {
      const id = [first, second][index]?.id ?? '';
      region.killEntryVm(id);
      region.startEntryVm(id);
      await run.advance(RESTART_MILLISECONDS);
    });
  });
}

describe('requests that crash servers', () => {
  describe('when an entry VM that counted their crashes restarts', () => {
    it('are refused everywhere all the same', () =>
      withLosses(async (exchanges, restart) => {
        await restart(0);
        assert.ok([...exchanges.refused.values()].every((refused) => refused.includes(FINGERPRINT)));
      }));
  });

  describe('when a process withdraws its losses because of a response', () => {
    it('are no longer refused', () =>
      withLosses(async (exchanges, restart) => {
        exchanges.lossesByProcess.clear();
        await restart(1);
        assert.ok([...exchanges.refused.values()].every((refused) => refused.length === 0));
      }));
  });
});
