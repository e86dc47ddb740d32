import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { CallerRequest } from '../callerRequest.js';
import { CrashingRequestDetector } from '../crashingRequestDetector.js';

const ENTRY_VMS = 6;
const TICK_MILLISECONDS = 50;
/** Crashes until a request must be known everywhere, by the users' rule. */
const MAX_CRASHES = 3;

function requestTo(target: string): CallerRequest {
  return { service: 'catalogue', method: 'POST', target, body: Buffer.alloc(0) } as unknown as CallerRequest;
}

/** Detectors that pass on their evidence at each tick. */
class Fleet {
  readonly detectors = Array.from({ length: ENTRY_VMS }, () => new CrashingRequestDetector());

  exchange(): void {
    for (const sender of this.detectors) {
      const evidence = sender.takeEvidence();
      if (evidence !== undefined) {
        this.detectors
          .filter((other) => other !== sender)
          .forEach((other) => {
            other.recordEvidence(evidence);
          });
      }
    }
  }

  at(index: number): CrashingRequestDetector {
    const detector = this.detectors[index % ENTRY_VMS];
    assert.ok(detector);
    return detector;
  }
}

async function withFleet(
  scenario: (fleet: Fleet, advance: (milliseconds: number) => void) => void,
): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  const fleet = new Fleet();
  try {
    scenario(fleet, (milliseconds) => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MILLISECONDS) {
        clock.tick(TICK_MILLISECONDS);
        fleet.exchange();
      }
    });
    await Promise.resolve();
  } finally {
    clock.uninstall();
  }
}

describe('a request that crashes servers', () => {
  describe('when it comes again at another entry VM each time', () => {
    it('is refused by all after the limit of crashes', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/crash');
        let crashes = 0;
        for (let round = 0; round < 14; round += 1) {
          if (!fleet.at(round).isRefused(request)) {
            // The owner of a key starts again under its ID.
            fleet.at(round).recordLoss(request, { id: 'server-1', incarnation: round });
            crashes += 1;
          }
          advance(1_500);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });
  });

  describe('when a popular request is in flight at two servers that fail', () => {
    it('is not refused once any entry VM gets a response', async () => {
      await withFleet((fleet, advance) => {
        const popular = requestTo('/popular');
        fleet.at(0).recordLoss(popular, { id: 'server-1', incarnation: 1 });
        fleet.at(1).recordLoss(popular, { id: 'server-2', incarnation: 1 });
        advance(500);
        fleet.at(2).recordResponse(popular);
        advance(100);
        assert.equal(
          fleet.detectors.map((detector) => detector.isRefused(popular)),
          fleet.detectors.map(() => false),
        );
      });
    });
  });

  describe('when a request is answered on its retry', () => {
    it('is not mentioned to other entry VMs', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/look-up');
        fleet.at(0).recordLoss(request, { id: 'server-1', incarnation: 1 });
        advance(100);
        fleet.at(0).recordResponse(request);
        assert.is(fleet.at(0).takeEvidence(), undefined);
      });
    });
  });

  describe('after two minutes', () => {
    it('is tried again', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/crash');
        fleet.at(0).recordLoss(request, { id: 'server-1', incarnation: 1 });
        fleet.at(0).recordLoss(request, { id: 'server-2', incarnation: 1 });
        assert.is(fleet.at(0).isRefused(request), true);
        advance(121_000);
        assert.is(fleet.at(0).isRefused(request), false);
      });
    });
  });

  describe('in any order of losses and responses', () => {
    it('is never refused by an entry VM after a response that was the last event', async () => {
      const event = fc.record({ entryVm: fc.nat(ENTRY_VMS - 1), server: fc.nat(3), isLoss: fc.boolean() });
      await fc.assert(
        fc.asyncProperty(fc.array(event, { maxLength: 20 }), async (events) => {
          await withFleet((fleet, advance) => {
            const request = requestTo('/x');
            for (const { entryVm, server, isLoss } of events) {
              if (isLoss) {
                fleet.at(entryVm).recordLoss(request, { id: `server-${server.toString()}`, incarnation: 1 });
              } else {
                fleet.at(entryVm).recordResponse(request);
              }
              advance(300);
            }
            fleet.at(0).recordResponse(request);
            advance(300);
            assert.ok(fleet.detectors.every((detector) => !detector.isRefused(request)));
          });
        }),
        { seed: 3, numRuns: 100 },
      );
    });
  });
});
