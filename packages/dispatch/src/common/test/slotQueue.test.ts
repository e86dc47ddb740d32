import fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { KeyShare } from '../keyDemand.js';
import { type QueuePosition, SlotQueue } from '../slotQueue.js';
import type { SlotRequest } from '../slotRequest.js';
import { slotRequest } from './fakes/slotRequests.js';

const SEED = 20261204;

function createRequest(id: string, rank: number, goalAt: number): SlotRequest {
  return slotRequest(id, { rank, goalAt, deadlineAt: goalAt + 1_000 });
}

type Step =
  | {
      readonly kind: 'add';
      readonly rank: number;
      readonly goal: number;
      readonly share: KeyShare;
      /** Time before the goal by which the request has to start. */
      readonly margin: number;
    }
  | { readonly kind: 'delete'; readonly index: number }
  | { readonly kind: 'pass'; readonly milliseconds: number };

const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('add' as const),
    rank: fastCheck.nat(2),
    goal: fastCheck.integer({ min: -50, max: 400 }),
    share: fastCheck.constantFrom<KeyShare>('within', 'above'),
    margin: fastCheck.nat(60),
  }),
  fastCheck.record({ kind: fastCheck.constant('delete' as const), index: fastCheck.nat(40) }),
  fastCheck.record({ kind: fastCheck.constant('pass' as const), milliseconds: fastCheck.nat(120) }),
);

describe('a queue of slot requests', () => {
  it('contains a request once, also if it is added again', () => {
    const queue = new SlotQueue();
    queue.add(createRequest('a', 1, 100), 0);
    queue.add(createRequest('a', 1, 200), 0);
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
        const positions = new Map<string, QueuePosition>();
        const positionOf = ({ id }: SlotRequest): QueuePosition =>
          positions.get(id) ?? { share: 'within', startBy: 0 };
        let now = 0;
        steps.forEach((change, index) => {
          switch (change.kind) {
            case 'add': {
              const request = createRequest(index.toString(), change.rank, now + change.goal);
              const position = { share: change.share, startBy: request.goalAt - change.margin };
              queue.add(request, now, position);
              positions.set(request.id, position);
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
            assert.ok(previous !== undefined);
            assert.ok(
              previous.rank === request.rank
                ? isInOrder(positionOf(previous), positionOf(request), now)
                : previous.rank < request.rank,
            );
          });
          const probe = createRequest('probe', 1, now + 100);
          for (const share of ['within', 'above'] as const) {
            const position = { share, startBy: probe.goalAt };
            const ahead = ordered.filter(
              (request) =>
                request.rank < probe.rank ||
                (request.rank === probe.rank && isAhead(positionOf(request), position, now)),
            ).length;
            assert.is(queue.countAhead(probe, now, position), ahead);
          }
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

/** Whether a request may get a slot before the next one of the same rank. */
function isInOrder(left: QueuePosition, right: QueuePosition, now: number): boolean {
  const [leftLane, rightLane] = [laneOf(left, now), laneOf(right, now)];
  return leftLane === rightLane
    ? left.startBy < now || left.startBy <= right.startBy
    : LANES.indexOf(leftLane) < LANES.indexOf(rightLane);
}

/** Whether a queued request gets a slot before a new one of the same rank that is in time. */
function isAhead(queued: QueuePosition, added: QueuePosition, now: number): boolean {
  const [queuedLane, addedLane] = [laneOf(queued, now), laneOf(added, now)];
  return queuedLane === addedLane
    ? queued.startBy <= added.startBy
    : LANES.indexOf(queuedLane) < LANES.indexOf(addedLane);
}

const LANES = ['within in time', 'above in time', 'within late', 'above late'] as const;

function laneOf({ share, startBy }: QueuePosition, now: number): (typeof LANES)[number] {
  return `${share} ${startBy < now ? 'late' : 'in time'}`;
}
