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

/** Requests that are in flight at servers that fail together. */
const REQUESTS_IN_FLIGHT = 1_500;

function requestTo(target: string, service = 'catalogue'): CallerRequest {
  const request = { host: 'library.example', service, method: 'POST', target, body: Buffer.alloc(0) };
  return request as unknown as CallerRequest;
}

/** Detectors that pass on their evidence at each tick. */
class Fleet {
  readonly detectors = Array.from({ length: ENTRY_VMS }, () => new CrashingRequestDetector());

  /** Selects the messages that are lost, by the positions of sender and receiver. */
  isLost: (sender: number, receiver: number) => boolean = () => false;

  exchange(): void {
    this.detectors.forEach((sender, from) => {
      const evidence = sender.takeEvidence();
      if (evidence !== undefined) {
        this.detectors.forEach((receiver, to) => {
          if (from !== to && !this.isLost(from, to)) {
            receiver.recordEvidence(evidence);
          }
        });
      }
    });
  }

  /** Replaces the process of an entry VM by a new one, which the others hear from. */
  restart(index: number): void {
    const newcomer = new CrashingRequestDetector();
    const evidence = this.at(index + 1).evidenceForNewcomer();
    this.detectors[index % ENTRY_VMS] = newcomer;
    if (evidence !== undefined) {
      newcomer.recordEvidence(evidence);
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

/** Sends a request to an entry VM; it crashes its server unless it is refused. @returns the number of crashes. */
function visit(fleet: Fleet, index: number, request: CallerRequest, incarnation: number): number {
  if (fleet.at(index).isRefused(request)) {
    return 0;
  }
  // The owner of a key starts again under its ID.
  fleet.at(index).recordLoss(request, { id: 'server-1', incarnation });
  return 1;
}

describe('a request that crashes servers', () => {
  describe('when it comes again at another entry VM each time', () => {
    it('is refused by all after the limit of crashes', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/crash');
        let crashes = 0;
        for (let round = 0; round < 14; round += 1) {
          crashes += visit(fleet, round, request, round);
          advance(1_500);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });

    it('is refused after the limit also while the entry VMs restart one after the other', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/crash');
        let crashes = 0;
        for (let round = 0; round < 4 * ENTRY_VMS; round += 1) {
          if (round > 2) {
            fleet.restart(round);
          }
          advance(700);
          crashes += visit(fleet, round, request, round);
          advance(800);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });

    it('is refused after the limit although an entry VM misses the first messages', async () => {
      await withFleet((fleet, advance) => {
        const request = requestTo('/crash');
        fleet.isLost = (_sender, receiver) => receiver === 5;
        let crashes = 0;
        for (const index of [0, 1, 2]) {
          crashes += visit(fleet, index, request, index);
          advance(1_500);
        }
        fleet.isLost = () => false;
        for (const index of [3, 5, 4, 5, 0, 5]) {
          crashes += visit(fleet, index, request, 3 + index);
          advance(1_500);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });

    it('is refused after the limit although its route sends it to several services', async () => {
      await withFleet((fleet, advance) => {
        let crashes = 0;
        for (let round = 0; round < 12; round += 1) {
          const service = `catalogue-${(round % 3).toString()}`;
          crashes += visit(fleet, round, requestTo('/crash', service), round);
          advance(1_500);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });
  });

  describe('when more requests were in flight at failing servers than are remembered', () => {
    it('is refused all the same', async () => {
      await withFleet((fleet, advance) => {
        for (let index = 0; index < REQUESTS_IN_FLIGHT; index += 1) {
          fleet
            .at(0)
            .recordLoss(requestTo(`/upload/${index.toString()}`), { id: 'server-1', incarnation: 1 });
        }
        advance(3_000);
        const request = requestTo('/crash');
        let crashes = 0;
        for (let round = 0; round < 10; round += 1) {
          crashes += visit(fleet, round, request, round);
          advance(1_500);
        }
        assert.ok(crashes <= MAX_CRASHES, `${crashes.toString()} crashes`);
      });
    });
  });

  describe('when an entry VM misses that a popular request got a response', () => {
    it('is soon refused by none', async () => {
      await withFleet((fleet, advance) => {
        const popular = requestTo('/popular');
        fleet.at(0).recordLoss(popular, { id: 'server-1', incarnation: 1 });
        fleet.at(1).recordLoss(popular, { id: 'server-2', incarnation: 1 });
        advance(500);
        fleet.isLost = (_sender, receiver) => receiver === 4;
        fleet.at(2).recordResponse(popular);
        advance(100);
        fleet.isLost = () => false;
        assert.is(fleet.at(4).isRefused(popular), true);
        advance(1_500);
        assert.ok(fleet.detectors.every((detector) => !detector.isRefused(popular)));
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
