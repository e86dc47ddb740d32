import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type SchedulableServer, type SlotRequest, SlotScheduler } from '../slotScheduler.js';

/** Slots of each server; one more request is sent beyond them. */
const SLOTS = 2;
const CAPACITY = SLOTS + 1;

function createServer(id: string, availabilityZone = 'zone-1'): SchedulableServer {
  return { id, incarnation: 1, availabilityZone, slots: SLOTS, warmupMilliseconds: 0 };
}

function slotRequest(id: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return {
    id,
    serverId: undefined,
    excludedIds: [],
    availabilityZone: 'zone-1',
    rank: 1,
    bodyBytes: 0,
    goalAt: 1_000,
    deadlineAt: 3_000,
    ...overrides,
  };
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
});
