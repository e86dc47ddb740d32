import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { planEvacuation } from '../evacuationPlanner.js';
import { EvacuationRounds } from '../evacuationRounds.js';
import { LAST_KEY, type OwnedRange } from '../keyAssignment.js';
import type { CandidateServer, KeyTraffic, PlannedMove } from '../keyPlanner.js';
import { countKeysIn } from '../sortedKeys.js';

const SERVERS = 30;
const idOf = (index: number): string => `server-${index.toString()}`;
const isLeaving = (id: string): boolean => Number(id.split('-')[1]) % 3 === 0;

function createServer(id: string, requestsPerSecond = 20): CandidateServer {
  return { id, incarnation: 1, address: id, requestsPerSecond };
}

/** Two ranges for each server. */
function createRanges(): readonly OwnedRange[] {
  const width = (LAST_KEY + 1) / (2 * SERVERS);
  return Array.from({ length: 2 * SERVERS }, (_, index) => {
    const id = idOf(index % SERVERS);
    const [from, to] = [Math.ceil(index * width), Math.ceil((index + 1) * width) - 1];
    return { from, to, ownerId: id, ownerIncarnation: 1, ownerAddress: id, fence: 1 };
  });
}

function loadsAfter(ranges: readonly OwnedRange[], moves: readonly PlannedMove[], traffic: KeyTraffic) {
  const loads = new Map<string, number>();
  const add = (id: string, count: number): void => {
    loads.set(id, (loads.get(id) ?? 0) + count);
  };
  ranges.forEach(({ ownerId, from, to }) => {
    add(ownerId, countKeysIn(traffic.sortedKeys, from, to));
  });
  moves.forEach(({ range, from, to, newOwnerId }) => {
    const count = countKeysIn(traffic.sortedKeys, from, to);
    add(range.ownerId, -count);
    add(newOwnerId, count);
  });
  return loads;
}

function widthOfMoves(moves: readonly PlannedMove[]): number {
  return moves.reduce((sum, { from, to }) => sum + to - from + 1, 0);
}

describe('the evacuation planner', () => {
  const ranges = createRanges();
  const ids = Array.from({ length: SERVERS }, (_, index) => idOf(index));
  const leavingIds = new Set(ids.filter(isLeaving));
  const widthOfLeaving = ranges
    .filter(({ ownerId }) => leavingIds.has(ownerId))
    .reduce((sum, { from, to }) => sum + to - from + 1, 0);

  describe('when a third of the servers leave at once under load', () => {
    it('moves every key of theirs, and overloads none of the others whatever their speed and load', () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(fastCheck.integer({ min: 0, max: LAST_KEY }), { minLength: 300, maxLength: 900 }),
          fastCheck.array(fastCheck.integer({ min: 10, max: 40 }), {
            minLength: SERVERS,
            maxLength: SERVERS,
          }),
          (keys, speeds) => {
            const traffic = { sortedKeys: keys.sort((left, right) => left - right), seconds: 2 };
            const receivers = ids
              .map((id, index) => createServer(id, speeds[index]))
              .filter(({ id }) => !leavingIds.has(id));
            const moves = planEvacuation(ranges, leavingIds, receivers, traffic);
            assert.is(widthOfMoves(moves), widthOfLeaving);
            const before = loadsAfter(ranges, [], traffic);
            const after = loadsAfter(ranges, moves, traffic);
            const capacity = receivers.reduce((sum, server) => sum + server.requestsPerSecond * 2, 0);
            const busiest = Math.max(
              ...receivers.map(
                ({ id, requestsPerSecond }) => (before.get(id) ?? 0) / (requestsPerSecond * 2),
              ),
            );
            const common = Math.max(busiest, keys.length / capacity);
            for (const { id, requestsPerSecond } of receivers) {
              const received = (after.get(id) ?? 0) - (before.get(id) ?? 0);
              const share = common * requestsPerSecond * 2 - (before.get(id) ?? 0);
              assert.ok(
                received <= 1.25 * share + 4,
                `${id} got ${received.toString()} of ${share.toString()}`,
              );
            }
          },
        ),
        { numRuns: 50 },
      );
    });

    it('spreads keys without traffic evenly, in few parts', () => {
      const receivers = ids.filter((id) => !leavingIds.has(id)).map((id) => createServer(id));
      const moves = planEvacuation(ranges, leavingIds, receivers, { sortedKeys: [], seconds: 2 });
      const widths = receivers.map(({ id }) =>
        widthOfMoves(moves.filter(({ newOwnerId }) => newOwnerId === id)),
      );
      assert.ok(Math.max(...widths) <= (1.3 * widthOfLeaving) / receivers.length);
      assert.ok(moves.length <= 2 * receivers.length, `${moves.length.toString()} parts`);
    });

    it('gives a cold server no more requests than it bears', () => {
      const sortedKeys = Array.from({ length: 600 }, (_, index) => index * 109);
      const receivers = ids
        .filter((id) => !leavingIds.has(id))
        .map((id, index) =>
          index < 5 ? { ...createServer(id), maxReceivedRequestsPerSecond: 12 } : createServer(id),
        );
      const traffic = { sortedKeys, seconds: 2 };
      const after = loadsAfter(ranges, planEvacuation(ranges, leavingIds, receivers, traffic), traffic);
      for (const { id } of receivers.slice(0, 5)) {
        assert.ok((after.get(id) ?? 0) <= 24 * 1.15, `${id} has ${String(after.get(id))}`);
      }
    });
  });

  it('moves a single hot key whole, to the server with the most headroom', () => {
    const hotRange = ranges[0];
    assert.ok(hotRange);
    const sortedKeys = Array.from({ length: 500 }, () => hotRange.from + 7);
    const receivers = [createServer('server-1'), createServer('server-2', 200)];
    const moves = planEvacuation(ranges, new Set([hotRange.ownerId]), receivers, { sortedKeys, seconds: 2 });
    const hot = moves.find(({ from, to }) => from <= hotRange.from + 7 && hotRange.from + 7 <= to);
    assert.is(hot?.newOwnerId, 'server-2');
    assert.is(moves[0], hot);
  });

  it('moves nothing when all servers leave', () => {
    assert.equal(planEvacuation(ranges, new Set(ids), [], { sortedKeys: [1], seconds: 2 }), []);
  });
});

describe('evacuation rounds', () => {
  const ranges = createRanges();
  const ids = Array.from({ length: SERVERS }, (_, index) => idOf(index));
  const leavingIds = new Set(ids.filter(isLeaving));
  const receivers = ids.filter((id) => !leavingIds.has(id)).map((id) => createServer(id));
  const traffic = (): KeyTraffic => ({ sortedKeys: [], seconds: 2 });

  it('start all moves within a second, a few at a time', () => {
    const rounds = new EvacuationRounds();
    let current = ranges;
    const counts: number[] = [];
    for (let now = 0; now < 1_000; now += 50) {
      const moves = rounds.nextMoves(now, current, leavingIds, receivers, traffic);
      counts.push(moves.length);
      current = current.flatMap((range) => applyMoves(range, moves));
    }
    assert.equal(
      current.filter(({ ownerId }) => leavingIds.has(ownerId)),
      [],
    );
    assert.ok(Math.max(...counts) <= 8, counts.join(' '));
  });

  it('start again when another zone is evacuated', () => {
    const rounds = new EvacuationRounds();
    rounds.nextMoves(0, ranges, new Set(['server-0']), receivers, traffic);
    const moves = rounds.nextMoves(2_000, ranges, leavingIds, receivers, traffic);
    assert.ok(moves.length > 0 && moves.length <= 8, moves.length.toString());
  });
});

function applyMoves(range: OwnedRange, moves: readonly PlannedMove[]): readonly OwnedRange[] {
  const parts: OwnedRange[] = [];
  let { from } = range;
  const inside = moves
    .filter((move) => range.from <= move.from && move.to <= range.to)
    .sort((left, right) => left.from - right.from);
  for (const move of inside) {
    if (from < move.from) {
      parts.push({ ...range, from, to: move.from - 1 });
    }
    parts.push({ ...range, from: move.from, to: move.to, ownerId: move.newOwnerId });
    from = move.to + 1;
  }
  return from <= range.to ? [...parts, { ...range, from }] : parts;
}
