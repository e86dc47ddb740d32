import fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { SlotQueue } from '../slotQueue.js';
import type { SlotRequest } from '../slotRequest.js';

const SEED = 20261204;

function slotRequest(id: string, rank: number, goalAt: number): SlotRequest {
  return {
    id,
    serverId: undefined,
    excludedIds: [],
    availabilityZone: 'zone-1',
    rank,
    bodyBytes: 0,
    goalAt,
    deadlineAt: goalAt + 1_000,
  };
}

type Step =
  | { readonly kind: 'add'; readonly rank: number; readonly goal: number }
  | { readonly kind: 'delete'; readonly index: number }
  | { readonly kind: 'pass'; readonly milliseconds: number };

const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('add' as const),
    rank: fastCheck.nat(2),
    goal: fastCheck.integer({ min: -50, max: 400 }),
  }),
  fastCheck.record({ kind: fastCheck.constant('delete' as const), index: fastCheck.nat(40) }),
  fastCheck.record({ kind: fastCheck.constant('pass' as const), milliseconds: fastCheck.nat(120) }),
);

describe('a queue of slot requests', () => {
  it('contains a request once, also if it is added again', () => {
    const queue = new SlotQueue();
    queue.add(slotRequest('a', 1, 100), 0);
    queue.add(slotRequest('a', 1, 200), 0);
    assert.equal(
      queue.inOrder(0).map(({ goalAt }) => goalAt),
      [200],
    );
    assert.ok(queue.delete('a'));
    assert.equal(queue.inOrder(0), []);
  });

  it('keeps its order and counts through any sequence of changes (fast-check, seed 20261204)', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 60 }), (steps) => {
        const queue = new SlotQueue();
        const expected = new Map<string, SlotRequest>();
        let now = 0;
        steps.forEach((change, index) => {
          switch (change.kind) {
            case 'add': {
              const request = slotRequest(index.toString(), change.rank, now + change.goal);
              queue.add(request, now);
              expected.set(request.id, request);
              break;
            }
            case 'delete': {
              const id = change.index.toString();
              assert.is(queue.delete(id), expected.delete(id));
              break;
            }
            case 'pass':
              now += change.milliseconds;
          }
          const ordered = queue.inOrder(now);
          assert.is(ordered.length, expected.size);
          assert.is(queue.size, expected.size);
          assert.equal(queue.first(now), ordered[0]);
          assert.equal(new Set(ordered), new Set(expected.values()));
          ordered.slice(1).forEach((request, position) => {
            const previous = ordered[position];
            assert.ok(previous !== undefined && isInOrder(previous, request, now));
          });
          const probe = slotRequest('probe', 1, now + 100);
          const ahead = ordered.filter((request) => isAhead(request, probe, now)).length;
          assert.is(queue.countAhead(probe, now), ahead);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

function isInOrder(left: SlotRequest, right: SlotRequest, now: number): boolean {
  const isLeftLate = left.goalAt < now;
  const isRightLate = right.goalAt < now;
  if (left.rank !== right.rank) {
    return left.rank < right.rank;
  }
  return isLeftLate === isRightLate ? isLeftLate || left.goalAt <= right.goalAt : isRightLate;
}

function isAhead(request: SlotRequest, probe: SlotRequest, now: number): boolean {
  return request.rank === probe.rank
    ? request.goalAt >= now && request.goalAt <= probe.goalAt
    : request.rank < probe.rank;
}
