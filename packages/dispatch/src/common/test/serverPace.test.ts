import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type PaceChange, ServerPace } from '../serverPace.js';
import {
  type SchedulableServer,
  type ServerPaceChange,
  type SlotDecision,
  SlotScheduler,
} from '../slotScheduler.js';
import { slotRequest } from './fakes/slotRequests.js';

const PEER_MILLISECONDS = 100;
/** Longest time for which a server has nothing in flight while callers wait, with a step of the replay and a tick. */
const MAX_IDLE_MILLISECONDS = 3_200 + 60;

interface PlayedServer {
  readonly slots: number;
  readonly isUp: (now: number) => boolean;
  readonly milliseconds: (now: number) => number;
  /** When the server restarts. */
  readonly restartsAt?: number;
}

interface Replay {
  /** Requests in flight at each step of 10 ms, by server. */
  readonly inFlight: ReadonlyMap<string, readonly number[]>;
  readonly granted: number;
  readonly refused: number;
  readonly changes: readonly ServerPaceChange[];
}

function describeServer(id: string, { slots }: PlayedServer, incarnation: number): SchedulableServer {
  return { id, incarnation, availabilityZone: 'zone-1', slots, warmupMilliseconds: 0 };
}

/** Plays callers that keep more requests waiting than the servers can run, or as many as stated. */
function replay(
  servers: ReadonlyMap<string, PlayedServer>,
  seconds: number,
  { keyedTo, arrivalMilliseconds = 5 }: { keyedTo?: string; arrivalMilliseconds?: number } = {},
): Replay {
  const changes: ServerPaceChange[] = [];
  const scheduler = new SlotScheduler((change) => changes.push(change));
  const running = new Map<
    string,
    { serverId: string; endsAt: number; outcome: 'answered' | 'unreachable' }
  >();
  const inFlight = new Map<string, number[]>([...servers.keys()].map((id) => [id, []]));
  let granted = 0;
  let refused = 0;
  const setServers = (now: number): void => {
    const described = [...servers].map(([id, server]) =>
      describeServer(id, server, server.restartsAt !== undefined && now >= server.restartsAt ? 2 : 1),
    );
    apply(scheduler.setServers(described, now), now);
  };
  const apply = (decisions: readonly SlotDecision[], now: number): void => {
    for (const decision of decisions) {
      if (decision.kind === 'granted') {
        granted += 1;
        const { serverId, slotRequestId } = decision;
        const server = servers.get(serverId);
        const isUp = server?.isUp(now) === true;
        const endsAt = now + (isUp ? server.milliseconds(now) : 10);
        running.set(slotRequestId, { serverId, endsAt, outcome: isUp ? 'answered' : 'unreachable' });
      } else {
        refused += 1;
      }
    }
  };
  let nextAt = 0;
  for (let now = 0; now < seconds * 1_000; now += 10) {
    if (now === 0 || [...servers.values()].some(({ restartsAt }) => restartsAt === now)) {
      setServers(now);
    }
    for (const [id, { endsAt, outcome }] of [...running]) {
      if (endsAt <= now) {
        running.delete(id);
        apply(scheduler.finish(id, outcome, now), now);
      }
    }
    for (; nextAt <= now; nextAt += arrivalMilliseconds) {
      const request = slotRequest(nextAt.toString(), {
        serverId: keyedTo,
        goalAt: now + 1_000,
        deadlineAt: now + 3_000,
      });
      apply(scheduler.submit(request, now), now);
    }
    if (now % 50 === 0) {
      apply(scheduler.tick(now), now);
    }
    for (const [id, counts] of inFlight) {
      counts.push([...running.values()].filter(({ serverId }) => serverId === id).length);
    }
  }
  return { inFlight, granted, refused, changes };
}

/** Longest time without anything in flight, in milliseconds. */
function longestIdle(counts: readonly number[]): number {
  let longest = 0;
  let idle = 0;
  for (const count of counts) {
    idle = count === 0 ? idle + 10 : 0;
    longest = Math.max(longest, idle);
  }
  return longest;
}

const fast = (): number => PEER_MILLISECONDS;

describe('the pace of a server', () => {
  describe('whatever it answers', () => {
    it('never exceeds the slots, and admits one request at least', () => {
      const step = fc.constantFrom('begin', 'answer', 'slow', 'fail', 'cancel', 'eject');
      fc.assert(
        fc.property(fc.integer({ min: 1, max: 12 }), fc.array(step, { maxLength: 80 }), (slots, steps) => {
          const pace = new ServerPace(slots, () => undefined);
          const begun: string[] = [];
          pace.restart('started', 0);
          steps.forEach((kind, index) => {
            const now = index * 20;
            const id = begun[0] ?? 'none';
            if (kind === 'begin' && pace.available(now) >= 1) {
              begun.push(index.toString());
              pace.begin(index.toString(), now);
              return;
            }
            begun.shift();
            if (kind === 'answer' || kind === 'slow') {
              pace.recordAnswer(id, kind === 'slow' ? 900 : 90, PEER_MILLISECONDS);
            } else if (kind === 'fail') {
              pace.recordFailure(id);
            } else if (kind === 'cancel') {
              pace.cancel(id);
            } else if (kind === 'eject') {
              pace.restart('ejected', now);
            }
            assert.ok(pace.limit === undefined || (pace.limit >= 1 && pace.limit <= slots));
          });
        }),
        { seed: 5, numRuns: 300 },
      );
    });

    it('converges to one number for any constant speed', () => {
      fc.assert(
        fc.property(
          fc.integer({ min: 1, max: 12 }),
          fc.double({ min: 0.2, max: 40, noNaN: true }),
          (slots, slowness) => {
            const changes: PaceChange[] = [];
            const pace = new ServerPace(slots, (change) => changes.push(change));
            pace.restart('started', 0);
            for (let index = 0; index < 400; index += 1) {
              pace.begin(index.toString(), index);
              pace.recordAnswer(index.toString(), slowness * PEER_MILLISECONDS, PEER_MILLISECONDS);
            }
            const share = Math.max(1, Math.floor((slots * 2) / slowness + 1e-9));
            const expected = share >= slots ? undefined : share;
            assert.ok(pace.limit === expected || slots === 1, `${String(pace.limit)} of ${slots.toString()}`);
            assert.ok(changes.length <= 2 * slots + 2);
          },
        ),
        { seed: 6, numRuns: 300 },
      );
    });

    it('leaves it idle for no longer than an ejection while callers wait', () => {
      fc.assert(
        fc.property(
          fc.array(fc.integer({ min: 100, max: 4_000 }), { minLength: 2, maxLength: 6 }),
          fc.integer({ min: 20, max: 900 }),
          fc.boolean(),
          (periods, milliseconds, isKeyed) => {
            const total = periods.reduce((sum, period) => sum + period, 0);
            const isUp = (now: number): boolean => {
              let rest = now % total;
              return periods.findIndex((period) => (rest -= period) < 0) % 2 === 0;
            };
            const server: PlayedServer = { slots: 4, isUp, milliseconds: () => milliseconds };
            const { inFlight } = replay(
              new Map([['flapping', server]]),
              20,
              isKeyed ? { keyedTo: 'flapping' } : {},
            );
            const counts = inFlight.get('flapping') ?? [];
            assert.ok(longestIdle(counts) <= MAX_IDLE_MILLISECONDS, longestIdle(counts).toString());
            assert.ok(Math.max(...counts) <= 5);
          },
        ),
        { seed: 7, numRuns: 12 },
      );
    });
  });

  it('lets a restarted server that is warm run at all its slots within a second', () => {
    const server: PlayedServer = { slots: 6, isUp: () => true, milliseconds: () => 250, restartsAt: 1_000 };
    const { inFlight, changes } = replay(new Map([['a', server]]), 3, { keyedTo: 'a' });
    assert.is(changes[0]?.reason, 'started');
    assert.is(changes.at(-1)?.limit, undefined);
    assert.ok((inFlight.get('a')?.[200] ?? 0) >= 6);
  });

  it('holds a server that stays slow at its share, until it answers like the others', () => {
    const slow: PlayedServer = {
      slots: 6,
      isUp: (now) => now >= 1_000,
      milliseconds: (now) => (now < 6_000 ? 6 : 1) * PEER_MILLISECONDS,
    };
    const peer: PlayedServer = { slots: 6, isUp: () => true, milliseconds: fast };
    const peers = Array.from({ length: 8 }, (_unused, index): [string, PlayedServer] => [
      index.toString(),
      peer,
    ]);
    const { inFlight, changes } = replay(new Map([['slow', slow], ...peers]), 12, { arrivalMilliseconds: 1 });
    const counts = inFlight.get('slow') ?? [];
    assert.ok(Math.max(...counts.slice(300, 600)) <= 3, Math.max(...counts.slice(300, 600)).toString());
    assert.ok(Math.max(...counts.slice(800)) >= 6);
    assert.ok(changes.some(({ reason }) => reason === 'slow'));
  });

  it('lets half of a service that comes back at once run at full load within two seconds', () => {
    const returning: PlayedServer = { slots: 4, isUp: (now) => now >= 3_000, milliseconds: fast };
    const peer: PlayedServer = { slots: 4, isUp: () => true, milliseconds: fast };
    const servers = Array.from({ length: 12 }, (_unused, index): [string, PlayedServer] => [
      index.toString(),
      index % 2 === 0 ? returning : peer,
    ]);
    const { inFlight } = replay(new Map(servers), 10, { arrivalMilliseconds: 1 });
    const halves = servers.filter(([, server]) => server === returning);
    const busy = halves.reduce((sum, [id]) => sum + (inFlight.get(id)?.[850] ?? 0), 0);
    assert.ok(busy >= halves.length * 4, busy.toString());
  });

  it('forgets a server for which nobody asks', () => {
    const pace = new ServerPace(4, () => undefined);
    pace.restart('started', 0);
    assert.is(pace.available(4_000), 1);
    assert.is(pace.available(6_000), Number.POSITIVE_INFINITY);
  });

  it('lets another request pass when the first one gets no response', () => {
    const pace = new ServerPace(4, () => undefined);
    pace.restart('ejected', 0);
    pace.begin('a', 0);
    assert.is(pace.available(900), 0);
    assert.is(pace.available(1_100), 1);
  });
});
