import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { SlotRequest } from '../slotRequest.js';
import { type SchedulableServer, SlotScheduler } from '../slotScheduler.js';
import { schedulableServer, slotRequest } from './fakes/slotRequests.js';

/** Slots of each server; one more request is sent beyond them. */
const SLOTS = 2;
const CAPACITY = SLOTS + 1;

function createServer(id: string, availabilityZone = 'zone-1'): SchedulableServer {
  return schedulableServer(id, { availabilityZone, slots: SLOTS });
}

function createScheduler(...servers: readonly SchedulableServer[]): SlotScheduler {
  const scheduler = new SlotScheduler();
  scheduler.setServers(servers, 0);
  return scheduler;
}

/** Takes the whole capacity of a scheduler's only server. */
function fill(scheduler: SlotScheduler, overrides: Partial<SlotRequest> = {}): void {
  for (let index = 0; index < CAPACITY; index += 1) {
    const [decision] = scheduler.submit(slotRequest(`busy-${index.toString()}`, overrides), 0);
    assert.is(decision?.kind, 'granted');
  }
}

describe('slots of a service', () => {
  describe('when a server is removed and comes back while it still runs requests', () => {
    it('count these requests', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      scheduler.setServers([], 100);
      scheduler.setServers([createServer('one')], 200);
      assert.equal(scheduler.submit(slotRequest('more'), 200), []);
      const [decision] = scheduler.finish('busy-0', 'answered', 300);
      assert.is(decision?.kind, 'granted');
    });
  });

  describe('when the configuration begins to state the rate of cold servers', () => {
    it('keep to it at servers that are known already', () => {
      const server = { ...createServer('one'), slots: 20 };
      const scheduler = createScheduler(server);
      const coldStart = { requestsPerSecond: 2, burst: 1 };
      scheduler.setServers([{ ...server, warmupMilliseconds: 3_000, coldStart }], 100);
      const granted = Array.from({ length: 20 }, (_, index) =>
        scheduler.submit(slotRequest(`r-${index.toString()}`), 100),
      ).filter(([decision]) => decision?.kind === 'granted');
      assert.ok(granted.length <= 1, granted.length.toString());
    });
  });

  describe('under normal load', () => {
    it('are granted at the server with the fewest requests', () => {
      const scheduler = createScheduler(createServer('one'), createServer('two'));
      const [first] = scheduler.submit(slotRequest('a'), 0);
      const [second] = scheduler.submit(slotRequest('b'), 0);
      assert.is.not(
        first?.kind === 'granted' && first.serverId,
        second?.kind === 'granted' && second.serverId,
      );
    });

    it('are granted in the same zone for large bodies', () => {
      const scheduler = createScheduler(createServer('far', 'zone-2'), createServer('near'));
      for (const id of ['a', 'b']) {
        const [decision] = scheduler.submit(slotRequest(id, { bodyBytes: 60_000 }), 0);
        assert.equal(decision, { kind: 'granted', slotRequestId: id, serverId: 'near' });
      }
    });
  });

  describe('of a server that is always busy', () => {
    it('are scheduled by its processing time, excluding the time in its queue', () => {
      const scheduler = createScheduler(createServer('one'));
      const workMilliseconds = 100;
      const running: { id: string; endsAt: number }[] = [];
      const queued: string[] = [];
      let now = 0;
      for (let index = 0; index < 60; index += 1) {
        while (running.length + queued.length < CAPACITY) {
          const id = `${index.toString()}-${queued.length.toString()}-${running.length.toString()}`;
          const [decision] = scheduler.submit(
            slotRequest(id, { goalAt: now + 1_000, deadlineAt: now + 3_000 }),
            now,
          );
          assert.is(decision?.kind, 'granted');
          queued.push(id);
          if (running.length < SLOTS) {
            running.push({ id: queued.shift() ?? '', endsAt: now + workMilliseconds });
          }
        }
        const first = running.shift();
        assert.ok(first);
        now = first.endsAt;
        scheduler.finish(first.id, 'answered', now);
        const next = queued.shift();
        if (next !== undefined) {
          running.push({ id: next, endsAt: now + workMilliseconds });
        }
      }
      const learned = scheduler.processingTimes(now).get('one')?.milliseconds ?? 0;
      assert.ok(Math.abs(learned - workMilliseconds) < 1, `${learned.toString()} ms`);
    });
  });

  describe('for requests that miss their latency goal anyway', () => {
    it('are refused if the wait is a large share of the time to the deadline', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      // The expected wait is about 100 ms: two requests of 100 ms each are ahead for two slots.
      const late = (left: number): Partial<SlotRequest> => ({ goalAt: -1, deadlineAt: left });
      assert.is(scheduler.submit(slotRequest('short deadline', late(400)), 0)[0]?.kind, 'refused');
      assert.equal(scheduler.submit(slotRequest('long deadline', late(2_000)), 0), []);
    });
  });

  describe('during a burst', () => {
    it('are not granted beyond the capacity of a server', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      assert.equal(scheduler.submit(slotRequest('next'), 0), []);
      assert.is(scheduler.inUse, CAPACITY);
    });

    it('are granted by rank, then in order of arrival', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      scheduler.submit(slotRequest('low', { rank: 2 }), 0);
      scheduler.submit(slotRequest('first'), 0);
      scheduler.submit(slotRequest('second'), 0);
      const order = [0, 1, 2].flatMap((index) =>
        scheduler.finish(`busy-${index.toString()}`, 'answered', 100),
      );
      assert.equal(
        order.map(({ slotRequestId }) => slotRequestId),
        ['first', 'second', 'low'],
      );
    });

    it('are granted to requests that can still meet their goal before late ones', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      scheduler.submit(slotRequest('late', { goalAt: 20 }), 0);
      scheduler.submit(slotRequest('in-time'), 0);
      const [decision] = scheduler.finish('busy-0', 'answered', 100);
      assert.is(decision?.slotRequestId, 'in-time');
    });

    it('are refused immediately to requests that cannot meet their goal, with the expected wait as retry delay', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      let refused = 0;
      for (let count = 0; count < 100; count += 1) {
        const [decision] = scheduler.submit(slotRequest(`request-${count.toString()}`), 0);
        if (decision?.kind === 'refused') {
          refused += 1;
          assert.ok(decision.retryAfterMilliseconds > 0);
        }
      }
      assert.ok(refused > 0);
      assert.ok(scheduler.waiting < 30, 'queued requests can be processed within their goal');
    });
  });

  describe('when a request is submitted twice', () => {
    it('are granted to it once', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler, { serverId: 'one' });
      const request = slotRequest('twice', { serverId: 'one' });
      scheduler.submit(request, 0);
      scheduler.submit(request, 0);
      const decisions = scheduler.finish('busy-0', 'answered', 100);
      assert.equal(decisions, [{ kind: 'granted', slotRequestId: 'twice', serverId: 'one' }]);
      assert.equal(scheduler.submit(request, 100), []);
      assert.is(scheduler.waiting, 0);
    });
  });

  describe('when one key overloads its owner', () => {
    it('are still granted at other owners', () => {
      const scheduler = createScheduler(createServer('hot'), createServer('other'));
      for (let count = 0; count < 50; count += 1) {
        scheduler.submit(slotRequest(`hot-${count.toString()}`, { serverId: 'hot' }), 0);
      }
      const [decision] = scheduler.submit(slotRequest('unaffected', { serverId: 'other' }), 0);
      assert.equal(decision, { kind: 'granted', slotRequestId: 'unaffected', serverId: 'other' });
    });
  });

  describe('of an unresponsive server', () => {
    it('are granted elsewhere, and refused immediately if it owns the key', () => {
      const scheduler = createScheduler(createServer('silent'), createServer('healthy'));
      scheduler.submit(slotRequest('a', { serverId: 'silent' }), 0);
      scheduler.finish('a', 'silent', 1_000);
      const [pooled] = scheduler.submit(slotRequest('b'), 1_001);
      assert.is(pooled?.kind === 'granted' && pooled.serverId, 'healthy');
      const [keyed] = scheduler.submit(slotRequest('c', { serverId: 'silent' }), 1_001);
      assert.is(keyed?.kind === 'refused' && keyed.refusal, 'unreachable');
    });

    it('are still granted at a slow server that responds to other requests', () => {
      const scheduler = createScheduler(createServer('slow'));
      scheduler.submit(slotRequest('a', { serverId: 'slow' }), 0);
      scheduler.submit(slotRequest('b', { serverId: 'slow' }), 0);
      scheduler.finish('b', 'answered', 800);
      scheduler.finish('a', 'silent', 1_000);
      assert.is(
        scheduler.submit(slotRequest('c', { serverId: 'slow', goalAt: 9_000, deadlineAt: 9_000 }), 1_001)[0]
          ?.kind,
        'granted',
      );
    });
  });

  describe('of an entry VM that became unreachable', () => {
    it('are reclaimed after the deadline', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler, { deadlineAt: 500 });
      scheduler.tick(2_000);
      assert.is(scheduler.inUse, 0);
    });
  });

  describe('when a server fails many requests', () => {
    it('are granted at healthy servers first', () => {
      const scheduler = createScheduler(createServer('failing'), createServer('healthy'));
      for (let count = 0; count < 10; count += 1) {
        const id = count.toString();
        scheduler.submit(slotRequest(id, { serverId: 'failing' }), count);
        scheduler.finish(id, 'refused', count);
      }
      for (const id of ['a', 'b']) {
        const [decision] = scheduler.submit(slotRequest(id), 20);
        assert.is(decision?.kind === 'granted' && decision.serverId, 'healthy');
      }
    });
  });

  describe('when callers return that were refused in a surge', () => {
    it('are granted to them before new ones, since their goal counts from their first attempt', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      scheduler.submit(slotRequest('new', { goalAt: 900 }), 0);
      scheduler.submit(slotRequest('returning', { goalAt: 600 }), 0);
      const [decision] = scheduler.finish('busy-0', 'answered', 100);
      assert.is(decision?.slotRequestId, 'returning');
    });

    it('let them return one after the other, not all at once', () => {
      const scheduler = createScheduler(createServer('one'));
      fill(scheduler);
      const returns: number[] = [];
      for (let count = 0; count < 200; count += 1) {
        const [decision] = scheduler.submit(slotRequest(`request-${count.toString()}`), 0);
        if (decision?.kind === 'refused') {
          returns.push(decision.retryAfterMilliseconds);
        }
      }
      assert.ok(returns.length > 100);
      assert.ok(Math.max(...returns) <= 1_500);
      const perTenth = new Map<number, number>();
      returns.forEach((milliseconds) => {
        const tenth = Math.floor(milliseconds / 100);
        perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
      });
      // About 900 ms of the period are left after the queue, for all that were refused.
      const evenShare = returns.length / perTenth.size;
      assert.ok(perTenth.size >= 6, `${perTenth.size.toString()} tenths of a second`);
      assert.ok(Math.max(...perTenth.values()) <= 2 * evenShare);
    });
  });

  describe('when the capacity for queued requests is lost', () => {
    /** Queues requests behind a server that takes 100 ms for each. */
    function queueBehindOwner(scheduler: SlotScheduler, count: number): void {
      const requirements = { serverId: 'owner', goalAt: 2_000, deadlineAt: 2_500 };
      fill(scheduler, requirements);
      for (let index = 0; index < count; index += 1) {
        assert.equal(scheduler.submit(slotRequest(`queued-${index.toString()}`, requirements), 0), []);
      }
    }

    it('are refused at once to those that a server that has become slow cannot serve in time', () => {
      const scheduler = createScheduler(createServer('owner'));
      queueBehindOwner(scheduler, 20);
      // Two requests took 2 s where 100 ms were expected.
      scheduler.finish('busy-0', 'answered', 1_000);
      scheduler.finish('busy-1', 'answered', 1_000);
      const refused = scheduler.tick(1_050).filter(({ kind }) => kind === 'refused');
      assert.ok(refused.length >= 5, `${refused.length.toString()} refused 1.4 s before their deadline`);
      assert.ok(scheduler.waiting > 0, 'those that can be served stay queued');
    });

    it('are refused at once to those that wait for an unresponsive owner', () => {
      const scheduler = createScheduler(createServer('owner'));
      queueBehindOwner(scheduler, 5);
      const decisions = scheduler.finish('busy-0', 'unreachable', 50);
      assert.equal(
        decisions.map((decision) => decision.kind === 'refused' && decision.refusal),
        Array.from({ length: 5 }, () => 'unreachable'),
      );
      assert.is(scheduler.waiting, 0);
    });
  });

  describe('for requests whose deadline is close, as at a planned stop', () => {
    it('are refused although a slot is free, if the deadline would cut off the processing', () => {
      const scheduler = createScheduler(createServer('one'));
      const [decision] = scheduler.submit(slotRequest('short', { deadlineAt: 30 }), 0);
      assert.is(decision?.kind === 'refused' && decision.refusal, 'overloaded');
      assert.is(scheduler.inUse, 0);
    });

    it('are still granted at a server that was unresponsive, so that it recovers', () => {
      const scheduler = createScheduler(createServer('one'));
      for (let count = 0; count < 20; count += 1) {
        const at = count * 10_000;
        const [decision] = scheduler.submit(
          slotRequest(`request-${count.toString()}`, { goalAt: at + 1_000, deadlineAt: at + 3_000 }),
          at,
        );
        assert.is(decision?.kind, 'granted');
        scheduler.finish(`request-${count.toString()}`, 'silent', at + 3_000);
      }
    });
  });
});
