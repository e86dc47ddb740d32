import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type SchedulableServer, type SlotRequest, SlotScheduler } from '../slotScheduler.js';

/** A server has this many slots, and one request may be on its way beyond them. */
const SLOTS = 2;
const PLACES = SLOTS + 1;

function server(id: string, availabilityZone = 'zone-1'): SchedulableServer {
  return { id, incarnation: 1, availabilityZone, slots: SLOTS, warmupMilliseconds: 0 };
}

function ask(id: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
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

function schedulerOf(...servers: readonly SchedulableServer[]): SlotScheduler {
  const scheduler = new SlotScheduler();
  scheduler.setServers(servers, 0);
  return scheduler;
}

/** Asks until the places of a scheduler's only server are taken. */
function fill(scheduler: SlotScheduler, overrides: Partial<SlotRequest> = {}): void {
  for (let place = 0; place < PLACES; place += 1) {
    const [decision] = scheduler.submit(ask(`busy-${place.toString()}`, overrides), 0);
    assert.is(decision?.kind, 'granted');
  }
}

describe('slots of a service', () => {
  describe('in ordinary load', () => {
    it('go to the server with the fewest requests', () => {
      const scheduler = schedulerOf(server('one'), server('two'));
      const [first] = scheduler.submit(ask('a'), 0);
      const [second] = scheduler.submit(ask('b'), 0);
      assert.is.not(
        first?.kind === 'granted' && first.serverId,
        second?.kind === 'granted' && second.serverId,
      );
    });

    it('go to the same zone for large bodies', () => {
      const scheduler = schedulerOf(server('far', 'zone-2'), server('near'));
      for (const id of ['a', 'b']) {
        const [decision] = scheduler.submit(ask(id, { bodyBytes: 60_000 }), 0);
        assert.equal(decision, { kind: 'granted', slotRequestId: id, serverId: 'near' });
      }
    });
  });

  describe('of a server that is always busy', () => {
    it('are judged by the time that requests take there, without their time in its queue', () => {
      const scheduler = schedulerOf(server('one'));
      const workMilliseconds = 100;
      const running: { id: string; endsAt: number }[] = [];
      const queued: string[] = [];
      let now = 0;
      for (let index = 0; index < 60; index += 1) {
        while (running.length + queued.length < PLACES) {
          const id = `${index.toString()}-${queued.length.toString()}-${running.length.toString()}`;
          const [decision] = scheduler.submit(ask(id, { goalAt: now + 1_000, deadlineAt: now + 3_000 }), now);
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

  describe('when callers come back after their goal', () => {
    it('are refused to those that would wait so long that new requests become late as well', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler);
      // A wait of some 100 ms: two requests are before it at 100 ms each and two slots.
      const late = (left: number): Partial<SlotRequest> => ({ goalAt: -1, deadlineAt: left });
      assert.is(scheduler.submit(ask('soon over', late(400)), 0)[0]?.kind, 'refused');
      assert.equal(scheduler.submit(ask('has time', late(2_000)), 0), []);
    });
  });

  describe('in a burst', () => {
    it('are never handed out beyond the places of a server', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler);
      assert.equal(scheduler.submit(ask('next'), 0), []);
      assert.is(scheduler.inUse, PLACES);
    });

    it('go to the most urgent rank first, then in order of arrival', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler);
      scheduler.submit(ask('low', { rank: 2 }), 0);
      scheduler.submit(ask('first'), 0);
      scheduler.submit(ask('second'), 0);
      const order = [0, 1, 2].flatMap((place) =>
        scheduler.finish(`busy-${place.toString()}`, 'answered', 100),
      );
      assert.equal(
        order.map(({ slotRequestId: askId }) => askId),
        ['first', 'second', 'low'],
      );
    });

    it('go to what can still be in time before what is late', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler);
      scheduler.submit(ask('late', { goalAt: 20 }), 0);
      scheduler.submit(ask('in-time'), 0);
      const [decision] = scheduler.finish('busy-0', 'answered', 100);
      assert.is(decision?.slotRequestId, 'in-time');
    });

    it('are refused at once to what cannot be in time, with the wait as the time to return', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler);
      let refused = 0;
      for (let count = 0; count < 100; count += 1) {
        const [decision] = scheduler.submit(ask(`ask-${count.toString()}`), 0);
        if (decision?.kind === 'refused') {
          refused += 1;
          assert.ok(decision.retryAfterMilliseconds > 0);
        }
      }
      assert.ok(refused > 0);
      assert.ok(scheduler.waiting < 30, 'what waits can be served within its goal');
    });
  });

  describe('with one hot key above its owner', () => {
    it('are left to other owners', () => {
      const scheduler = schedulerOf(server('hot'), server('other'));
      for (let count = 0; count < 50; count += 1) {
        scheduler.submit(ask(`hot-${count.toString()}`, { serverId: 'hot' }), 0);
      }
      const [decision] = scheduler.submit(ask('calm', { serverId: 'other' }), 0);
      assert.equal(decision, { kind: 'granted', slotRequestId: 'calm', serverId: 'other' });
    });
  });

  describe('with a silent server', () => {
    it('go elsewhere, and the owner of a key is refused at once', () => {
      const scheduler = schedulerOf(server('silent'), server('sound'));
      scheduler.submit(ask('a', { serverId: 'silent' }), 0);
      scheduler.finish('a', 'silent', 1_000);
      const [pooled] = scheduler.submit(ask('b'), 1_001);
      assert.is(pooled?.kind === 'granted' && pooled.serverId, 'sound');
      const [keyed] = scheduler.submit(ask('c', { serverId: 'silent' }), 1_001);
      assert.is(keyed?.kind === 'refused' && keyed.refusal, 'unreachable');
    });

    it('still go to a slow one that answers others', () => {
      const scheduler = schedulerOf(server('slow'));
      scheduler.submit(ask('a', { serverId: 'slow' }), 0);
      scheduler.submit(ask('b', { serverId: 'slow' }), 0);
      scheduler.finish('b', 'answered', 800);
      scheduler.finish('a', 'silent', 1_000);
      assert.is(
        scheduler.submit(ask('c', { serverId: 'slow', goalAt: 9_000, deadlineAt: 9_000 }), 1_001)[0]?.kind,
        'granted',
      );
    });
  });

  describe('of an entry VM that fell silent', () => {
    it('are free again after the deadline', () => {
      const scheduler = schedulerOf(server('one'));
      fill(scheduler, { deadlineAt: 500 });
      scheduler.tick(2_000);
      assert.is(scheduler.inUse, 0);
    });
  });

  describe('while a server fails many requests', () => {
    it('go to sound servers first', () => {
      const scheduler = schedulerOf(server('failing'), server('sound'));
      for (let count = 0; count < 10; count += 1) {
        const id = count.toString();
        scheduler.submit(ask(id, { serverId: 'failing' }), count);
        scheduler.finish(id, 'refused', count);
      }
      for (const id of ['a', 'b']) {
        const [decision] = scheduler.submit(ask(id), 20);
        assert.is(decision?.kind === 'granted' && decision.serverId, 'sound');
      }
    });
  });
});
