import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type HotKeyMove, HotKeyMoves } from '../hotKeyMoves.js';
import { createOwnedRange, findRange, type OwnedRange } from '../keyAssignment.js';
import { type CandidateServer, type KeyTraffic, planUnownedKeys } from '../keyPlanner.js';

const SECONDS = 2;
const ROUND_MILLISECONDS = 300;
const HOT_KEY = 30_000;
/** Speeds relative to their mean, as on shared machines. */
const SPEEDS: readonly number[] = [0.6, 0.8, 1, 1, 1.1, 1.2, 1.4];
const MEAN_REQUESTS_PER_SECOND = 25;
/** Relative standard error of a time that is estimated from 50 requests and those of all servers. */
const ESTIMATE_ERROR = 0.1;
const FLEETS = 200;

function createServers(count: number, speedOf: (index: number) => number): readonly CandidateServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `server-${index.toString()}`,
    incarnation: 1,
    address: '10.0.0.1:80',
    requestsPerSecond: MEAN_REQUESTS_PER_SECOND * speedOf(index),
  }));
}

const unequalServers = createServers(21, (index) => SPEEDS[index % SPEEDS.length] ?? 1);

function evenRanges(servers: readonly CandidateServer[]): readonly OwnedRange[] {
  return planUnownedKeys(
    [],
    servers.map((server) => ({ ...server, requestsPerSecond: 1 })),
  ).map(({ from, to, owner }) => createOwnedRange(from, to, owner, 1));
}

/** Requests for the hot keys, beside one for every hundredth key. */
function trafficWith(demand: number, keys: readonly number[] = [HOT_KEY]): KeyTraffic {
  const others = Array.from({ length: 655 }, (_, index) => 100 * index + 1);
  const hot = keys.flatMap((key) => Array.from({ length: demand * SECONDS }, () => key));
  return { sortedKeys: [...others, ...hot].sort((left, right) => left - right), seconds: SECONDS };
}

/** Runs balancing rounds; each move takes effect at once. */
function play(
  hotKeyMoves: HotKeyMoves,
  servers: readonly CandidateServer[],
  ranges: readonly OwnedRange[],
  traffic: KeyTraffic,
  startAt: number,
  seconds: number,
): { ranges: readonly OwnedRange[]; moves: readonly HotKeyMove[] } {
  const moves: HotKeyMove[] = [];
  let current = ranges;
  for (let now = startAt; now < startAt + 1_000 * seconds; now += ROUND_MILLISECONDS) {
    for (const move of hotKeyMoves.nextMoves(now, current, servers, traffic, traffic)) {
      hotKeyMoves.recordStart(move);
      moves.push(move);
      current = current.flatMap((range) =>
        range.from <= move.from && move.to <= range.to
          ? [
              { ...range, to: move.from - 1 },
              { ...range, from: move.from, to: move.to, ownerId: move.newOwnerId },
              { ...range, from: move.to + 1 },
            ].filter(({ from, to }) => from <= to)
          : [range],
      );
    }
  }
  return { ranges: current, moves };
}

function ownerOf(ranges: readonly OwnedRange[], key: number): CandidateServer | undefined {
  return unequalServers.find(({ id }) => id === findRange(ranges, key)?.ownerId);
}

describe('the moves of hot keys', () => {
  const slow = unequalServers[0];
  const onSlowServer = evenRanges(unequalServers).map((range) => ({
    ...range,
    ownerId: range.from <= HOT_KEY && HOT_KEY <= range.to ? (slow?.id ?? '') : range.ownerId,
  }));

  it('give a key that overloads a slow server to one of the fastest, alone and in the first round', () => {
    const { ranges, moves } = play(
      new HotKeyMoves(),
      unequalServers,
      onSlowServer,
      trafficWith(200),
      0,
      ROUND_MILLISECONDS / 1_000,
    );
    assert.equal(
      moves.map(({ from, to }) => [from, to]),
      [[HOT_KEY, HOT_KEY]],
    );
    assert.is(ownerOf(ranges, HOT_KEY)?.requestsPerSecond, 1.4 * MEAN_REQUESTS_PER_SECOND);
  });

  it('happen once in a surge, although speeds are measured anew, and once more in another one', () => {
    const hotKeyMoves = new HotKeyMoves();
    const first = play(hotKeyMoves, unequalServers, onSlowServer, trafficWith(200), 0, 3);
    const opposite = unequalServers.map((server) => ({
      ...server,
      requestsPerSecond: 2 * MEAN_REQUESTS_PER_SECOND - server.requestsPerSecond,
    }));
    const rest = play(hotKeyMoves, opposite, first.ranges, trafficWith(200), 3_000, 3);
    assert.is(first.moves.length + rest.moves.length, 1);
    play(hotKeyMoves, opposite, rest.ranges, trafficWith(0), 6_000, 4);
    assert.is(play(hotKeyMoves, opposite, rest.ranges, trafficWith(200), 10_000, 3).moves.length, 1);
  });

  it('give two hot keys to two servers', () => {
    const traffic = trafficWith(150, [HOT_KEY, HOT_KEY + 1]);
    const { ranges } = play(new HotKeyMoves(), unequalServers, onSlowServer, traffic, 0, 3);
    assert.is.not(ownerOf(ranges, HOT_KEY)?.id, ownerOf(ranges, HOT_KEY + 1)?.id);
  });

  it('do not happen for a key that its owner can serve', () => {
    assert.equal(play(new HotKeyMoves(), unequalServers, onSlowServer, trafficWith(12), 0, 20).moves, []);
  });

  it('give nothing to cold servers', () => {
    const cold = unequalServers.map((server) => ({
      ...server,
      ...(server.id === slow?.id ? {} : { maxReceivedRequestsPerSecond: 5 }),
    }));
    assert.equal(play(new HotKeyMoves(), cold, onSlowServer, trafficWith(200), 0, 3).moves, []);
  });

  it('do not follow the noise of times measured at servers that are as fast as each other (seeds 0 to 199)', () => {
    let moves = 0;
    for (let seed = 0; seed < FLEETS; seed += 1) {
      const random = new RandomSource(seed);
      const measured = createServers(60, () => {
        const normal = Array.from({ length: 12 }, () => random.fraction()).reduce(
          (sum, one) => sum + one,
          -6,
        );
        return 1 / (1 + ESTIMATE_ERROR * normal);
      });
      moves += play(new HotKeyMoves(), measured, evenRanges(measured), trafficWith(200), 0, 3).moves.length;
    }
    assert.ok(moves <= 0.02 * FLEETS, `${moves.toString()} moves in ${FLEETS.toString()} surges`);
  });
});
