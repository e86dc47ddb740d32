import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CrashingRequestDetector } from '../crashingRequestDetector.js';
import type { RequestOutcome } from '../requestOutcome.js';
import { RequestExecutor } from '../requestExecutor.js';
import { LoadBalancer } from '../loadBalancer.js';
import { FakeEntryVms } from './fakes/fakeEntryVms.js';
import { FakeServers } from './fakes/fakeServers.js';
import { buildRequest } from './fakes/requests.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const REQUEST_COUNT = 400;
const BOOKING_COUNT = 120;
const MAXIMUM_SENDS = 6;
const SETTLE_MILLISECONDS = 10_000;

async function withFakeClock(
  body: (clock: ReturnType<typeof FakeTimers.install>) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
}

/** Creates a version 7 UUID for the current time. */
function createTimedKey(sequence: number): string {
  const time = Date.now().toString(16).padStart(12, '0');
  const tail = sequence.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

describe('outcomes of requests without an idempotency key', () => {
  const cases = SEEDS.flatMap((seed) => [
    { seed, method: 'POST' },
    { seed, method: 'GET' },
  ]);
  for (const { seed, method } of cases) {
    it(`match the requests that the servers ran, ${method}, seed ${seed.toString()}`, () =>
      withFakeClock(async (clock) => {
        const random = new RandomSource(seed);
        const servers = new FakeServers(random);
        const routing = {
          assignment: () => undefined,
          pooledServers: () => ['10.0.0.1:80', '10.0.0.2:80'],
          mayRoute: () => true,
          track: () => toDisposable(() => undefined),
        };
        const executor = new RequestExecutor(
          await KeyHasher.create(),
          routing,
          servers,
          new LoadBalancer(random),
          new CrashingRequestDetector(),
          silentLogger,
        );
        const outcomes = new Map<string, RequestOutcome>();
        for (let index = 0; index < REQUEST_COUNT; index += 1) {
          const id = `request-${index.toString()}`;
          const body = Buffer.from(id);
          void executor
            .execute(buildRequest({ id, body, method }))
            .then((outcome) => outcomes.set(id, outcome));
          await clock.tickAsync(random.integer(1, 20));
        }
        await clock.tickAsync(SETTLE_MILLISECONDS);
        assert.is(outcomes.size, REQUEST_COUNT);
        for (const [id, outcome] of outcomes) {
          const runs = servers.runsByRequest.get(id) ?? 0;
          assert.ok(
            isConsistentWithRuns(outcome, runs, method),
            `${id} was reported as ${outcome.kind} and ran ${runs.toString()} times`,
          );
        }
      }));
  }
});

function isConsistentWithRuns(outcome: RequestOutcome, runs: number, method: string): boolean {
  switch (outcome.kind) {
    case 'answered':
      return method === 'GET' ? runs >= 1 : runs === 1;
    case 'not-run':
      return runs === 0;
    case 'unknown':
      return method === 'GET' || runs <= 1;
  }
}

interface Booking {
  readonly idempotencyKey: string;
  readonly outcomes: RequestOutcome[];
}

describe('bookings with an idempotency key', () => {
  for (const seed of SEEDS) {
    for (const kind of ['timed', 'opaque'] as const) {
      it(`run at most once across resends, entry VMs and crashed owners, ${kind} keys, seed ${seed.toString()}`, () =>
        withFakeClock(async (clock) => {
          const random = new RandomSource(seed);
          const servers = new FakeServers(random);
          const entryVms = await FakeEntryVms.create(random, servers, 4);
          const bookings: Booking[] = [];
          const sendRepeatedly = async (booking: Booking, index: number): Promise<void> => {
            for (let send = 0; send < MAXIMUM_SENDS; send += 1) {
              const id = `${index.toString()}-${send.toString()}`;
              const request = buildRequest({ id, idempotencyKey: booking.idempotencyKey });
              const outcome = await entryVms.execute(random.integer(0, 3), request);
              booking.outcomes.push(outcome);
            }
          };
          for (let index = 0; index < BOOKING_COUNT; index += 1) {
            const idempotencyKey = kind === 'timed' ? createTimedKey(index) : `booking-${index.toString()}`;
            const booking: Booking = { idempotencyKey, outcomes: [] };
            bookings.push(booking);
            void sendRepeatedly(booking, index);
            if (index % 30 === 20) {
              void (index % 60 === 20 ? entryVms.crashOwner() : entryVms.expireOwnerLease());
            } else {
              entryVms.renew();
            }
            await clock.tickAsync(random.integer(20, 400));
          }
          for (let elapsed = 0; elapsed < SETTLE_MILLISECONDS; elapsed += 200) {
            entryVms.renew();
            await clock.tickAsync(200);
          }
          let answered = 0;
          for (const [index, { idempotencyKey, outcomes }] of bookings.entries()) {
            const runs = servers.runsByIdempotencyKey.get(idempotencyKey) ?? 0;
            const kinds = outcomes.map((outcome) => outcome.kind);
            answered += kinds.includes('answered') ? 1 : 0;
            assert.is(outcomes.length, MAXIMUM_SENDS);
            assert.ok(runs <= 1, `${idempotencyKey} ran ${runs.toString()} times`);
            assert.ok(
              !kinds.includes('answered') || runs === 1,
              `${idempotencyKey} was answered but did not run`,
            );
            outcomes.forEach((outcome, send) => {
              const ids = outcomes
                .slice(0, send + 1)
                .map((_outcome, earlier) => `${index.toString()}-${earlier.toString()}`);
              const hasRun = ids.some((id) => servers.runsByRequest.has(id));
              assert.ok(
                outcome.kind !== 'not-run' || !hasRun,
                `${idempotencyKey} ran but was reported as not-run`,
              );
            });
          }
          assert.ok(answered > 0);
        }));
    }
  }
});
