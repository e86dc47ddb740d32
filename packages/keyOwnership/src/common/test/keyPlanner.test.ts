import * as assert from 'uvu/assert';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { createOwnedRange, LAST_KEY, type OwnedRange } from '../keyAssignment.js';
import { type KeyTraffic, type CandidateServer, planUnownedKeys, planMoves } from '../keyPlanner.js';
import { countKeysIn } from '../sortedKeys.js';

const SEED = 7;
const TRAFFIC_SECONDS = 2;
const REQUESTS_PER_SECOND = 9;
/** Balancing rounds, each with newly drawn traffic. */
const ROUNDS = 40;
/**
 * Fraction of the servers from which keys may move per round when their loads differ only by chance: the fraction of a
 * normal distribution above two standard deviations.
 */
const MAX_CHANCE_MOVE_SHARE = 0.023;
/** Moves that may start in one round of a service of this size. */
const MAX_MOVES = 20;

function createServers(count: number): readonly CandidateServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `server-${index.toString().padStart(2, '0')}`,
    incarnation: 1,
    address: '10.0.0.1:80',
    requestsPerSecond: REQUESTS_PER_SECOND,
  }));
}

function evenRanges(servers: readonly CandidateServer[]): readonly OwnedRange[] {
  return planUnownedKeys([], servers).map(({ from, to, owner }) => createOwnedRange(from, to, owner, 1));
}

/** Traffic with a hot spot: a share of the requests goes to a few adjacent keys. */
function hotSpotTraffic(
  perSecond: number,
  share: number,
  firstKey: number,
  keys: number,
  seed = SEED,
): KeyTraffic {
  const random = new RandomSource(seed);
  const drawn = Array.from({ length: perSecond * TRAFFIC_SECONDS }, () =>
    random.fraction() < share ? random.integer(firstKey, firstKey + keys - 1) : random.integer(0, LAST_KEY),
  );
  return { sortedKeys: drawn.sort((left, right) => left - right), seconds: TRAFFIC_SECONDS };
}

function afterMoves(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  traffic: KeyTraffic,
): readonly OwnedRange[] {
  let moved = ranges;
  for (const { from, to, newOwnerId } of planMoves(ranges, servers, traffic, MAX_MOVES)) {
    moved = moved.flatMap((range) =>
      range.to < from || to < range.from
        ? [range]
        : [
            { ...range, to: from - 1 },
            { ...range, from, to, ownerId: newOwnerId },
            { ...range, from: to + 1 },
          ].filter((piece) => piece.from <= piece.to),
    );
  }
  return moved;
}

function utilisations(
  ranges: readonly OwnedRange[],
  servers: readonly CandidateServer[],
  { sortedKeys, seconds }: KeyTraffic,
): readonly number[] {
  return servers.map(({ id, requestsPerSecond }) => {
    const own = ranges.filter(({ ownerId }) => ownerId === id);
    const requests = sortedKeys.filter((key) => own.some(({ from, to }) => from <= key && key <= to));
    return requests.length / seconds / requestsPerSecond;
  });
}

describe('planMoves', () => {
  it('spreads a hot spot of adjacent keys over many servers in one round', () => {
    const servers = createServers(30);
    const ranges = evenRanges(servers);
    const traffic = hotSpotTraffic(120, 0.4, 20_000, 200);
    assert.ok(Math.max(...utilisations(ranges, servers, traffic)) > 4);
    const moved = afterMoves(ranges, servers, traffic);
    assert.ok(Math.max(...utilisations(moved, servers, traffic)) < 1);
  });

  it('moves all other keys off the owner of a single key that overloads it', () => {
    const servers = createServers(10);
    const ranges = evenRanges(servers);
    const traffic = hotSpotTraffic(60, 0.4, 20_000, 1);
    const moved = afterMoves(ranges, servers, traffic);
    const owner = moved.find(({ from, to }) => from <= 20_000 && 20_000 <= to)?.ownerId;
    const own = moved.filter(({ ownerId }) => ownerId === owner);
    const others = traffic.sortedKeys.filter(
      (key) => key !== 20_000 && own.some(({ from, to }) => from <= key && key <= to),
    );
    assert.ok(others.length <= 4, `${others.length.toString()} other requests`);
  });

  it('raises no server above its capacity', () => {
    const servers = createServers(20);
    const ranges = evenRanges(servers);
    const traffic = hotSpotTraffic(100, 0.8, 20_000, 400);
    const before = utilisations(ranges, servers, traffic);
    const after = utilisations(afterMoves(ranges, servers, traffic), servers, traffic);
    after.forEach((utilisation, index) => {
      assert.ok(utilisation <= Math.max(1, before[index] ?? 0));
    });
  });

  it('plans no moves for an even load', () => {
    const servers = createServers(20);
    const ranges = evenRanges(servers);
    assert.equal(planMoves(ranges, servers, hotSpotTraffic(80, 0, 0, 1), MAX_MOVES), []);
  });

  it('does not react to random variation between busy servers', () => {
    const servers = createServers(60);
    const ranges = evenRanges(servers);
    const perSecond = 0.8 * REQUESTS_PER_SECOND * servers.length;
    let moves = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      moves += planMoves(ranges, servers, hotSpotTraffic(perSecond, 0, 0, 1, round), MAX_MOVES).length;
    }
    const maxMoves = MAX_CHANCE_MOVE_SHARE * servers.length * ROUNDS;
    assert.ok(moves <= maxMoves, `${moves.toString()} moves, expected at most ${maxMoves.toString()}`);
  });

  it('plans one merge move per round, since requests wait during an ownership transfer', () => {
    const servers = createServers(4);
    const many = Array.from({ length: 32 }, (_, index) => ({
      from: index * 1_000,
      to: index === 31 ? LAST_KEY : index * 1_000 + 999,
      ownerId: servers[index % servers.length]?.id ?? '',
      ownerIncarnation: 1,
      ownerAddress: '10.0.0.1:80',
      fence: 1,
    }));
    assert.is(planMoves(many, servers, { sortedKeys: [], seconds: TRAFFIC_SECONDS }, MAX_MOVES).length, 1);
  });

  it('moves small ranges without load to the owner of the preceding range once there are many ranges', () => {
    const servers = createServers(4);
    const quiet = { sortedKeys: [], seconds: TRAFFIC_SECONDS };
    const cutInto = (count: number): readonly OwnedRange[] =>
      Array.from({ length: count }, (_, index) => ({
        from: index * 1_000,
        to: index === count - 1 ? LAST_KEY : index * 1_000 + 999,
        ownerId: servers[index % servers.length]?.id ?? '',
        ownerIncarnation: 1,
        ownerAddress: '10.0.0.1:80',
        fence: 1,
      }));
    assert.equal(planMoves(cutInto(12), servers, quiet, MAX_MOVES), []);
    const moves = planMoves(cutInto(16), servers, quiet, MAX_MOVES);
    assert.ok(moves.length > 0);
    for (const { from, newOwnerId } of moves) {
      assert.is(cutInto(16).find(({ to }) => to === from - 1)?.ownerId, newOwnerId);
    }
  });

  it('moves keys to every server that has none', () => {
    const servers = createServers(6);
    const ranges = evenRanges(servers.slice(0, 3));
    const moved = afterMoves(ranges, servers, { sortedKeys: [], seconds: TRAFFIC_SECONDS });
    assert.is(new Set(moved.map(({ ownerId }) => ownerId)).size, 6);
  });
});

describe('planUnownedKeys', () => {
  it('divides the keys of one failed server into few ranges', () => {
    const servers = createServers(60);
    const [failed, ...left] = evenRanges(servers);
    const pieces = planUnownedKeys(
      left,
      servers.filter(({ id }) => id !== failed?.ownerId),
    );
    assert.ok(pieces.length <= 4, `${pieces.length.toString()} ranges`);
    assert.is(new Set(pieces.map(({ owner }) => owner.id)).size, pieces.length);
    assert.is(
      pieces.reduce((sum, { from, to }) => sum + to - from + 1, 0),
      (failed?.to ?? 0) - (failed?.from ?? 0) + 1,
    );
  });

  it('divides the keys of many failed servers among many servers', () => {
    const servers = createServers(60);
    const failedIds = servers.slice(0, 20).map(({ id }) => id);
    const left = evenRanges(servers).filter(({ ownerId }) => !failedIds.includes(ownerId));
    const pieces = planUnownedKeys(left, servers.slice(20));
    assert.ok(new Set(pieces.map(({ owner }) => owner.id)).size >= 20);
    assert.ok(pieces.length <= 60, `${pieces.length.toString()} ranges`);
  });
});

describe('the planning of keys for cold servers', () => {
  const isCold = (index: number): boolean => index % 3 === 0;
  const maxReceivedRequestsPerSecond = 2;
  const servers = createServers(18).map((server, index) =>
    isCold(index) ? { ...server, maxReceivedRequestsPerSecond } : server,
  );
  const coldIds = servers.filter((_, index) => isCold(index)).map(({ id }) => id);
  const requestsOf = (ranges: readonly OwnedRange[], id: string, { sortedKeys }: KeyTraffic): number =>
    ranges
      .filter(({ ownerId }) => ownerId === id)
      .reduce((sum, { from, to }) => sum + countKeysIn(sortedKeys, from, to), 0);

  it('gives a third of the servers that return at once no more than they bear, and all of them something', () => {
    const traffic = hotSpotTraffic(90, 0.2, 30_000, 2_000);
    const warm = servers.filter((_, index) => !isCold(index));
    const ranges = afterMoves(evenRanges(warm), servers, traffic);
    for (const id of coldIds) {
      const requests = requestsOf(ranges, id, traffic);
      assert.ok(requests >= 2, `${id} got ${requests.toString()} requests`);
      assert.ok(requests <= maxReceivedRequestsPerSecond * TRAFFIC_SECONDS, `${id} ${requests.toString()}`);
    }
  });

  it('gives them a smaller part of the keys of failed servers', () => {
    const [failed, ...others] = servers;
    const owned = evenRanges(servers.filter((_, index) => !isCold(index)));
    const lost = owned[0]?.ownerId;
    const kept = owned.filter(({ ownerId }) => ownerId !== lost);
    const candidates = others.filter(({ id }) => id !== lost && id !== failed?.id);
    const pieces = planUnownedKeys(kept, candidates);
    const cold = pieces.filter(({ owner }) => coldIds.includes(owner.id));
    assert.ok(cold.length > 0);
    for (const { from, to } of cold) {
      // A full server's even share of all keys is LAST_KEY / 12.
      assert.ok(
        to - from + 1 <= (LAST_KEY / 12) * (maxReceivedRequestsPerSecond / REQUESTS_PER_SECOND) * 1.2,
      );
    }
  });
});
