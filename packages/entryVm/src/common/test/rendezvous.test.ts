import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { rankByRendezvous } from '../rendezvous.js';

const RESOURCES = Array.from({ length: 2_000 }, (_, index) => `catalogue server-${index.toString()}`);
const large = Array.from({ length: 4 }, (_, index) => ({ id: `large-${index.toString()}`, weight: 0.6 }));
const small = Array.from({ length: 12 }, (_, index) => ({ id: `small-${index.toString()}`, weight: 0.2 }));

describe('rankByRendezvous', () => {
  it('assigns resources in proportion to the weights', () => {
    const firsts = RESOURCES.map((resource) => rankByRendezvous(resource, [...large, ...small])[0] ?? '');
    const share = firsts.filter((id) => id.startsWith('large')).length / RESOURCES.length;
    assert.ok(Math.abs(share - 0.5) < 0.04, share.toFixed(3));
    for (const { id, weight } of [...large, ...small]) {
      const ownShare = firsts.filter((first) => first === id).length / RESOURCES.length;
      assert.ok(Math.abs(ownShare - weight / 4.8) < 0.03, `${id} ${ownShare.toFixed(3)}`);
    }
  });

  it('moves only the resources of a candidate that leaves', () => {
    for (const resource of RESOURCES) {
      const [first, second] = rankByRendezvous(resource, [...large, ...small]);
      const rest = [...large, ...small].filter(({ id }) => id !== first);
      assert.is(rankByRendezvous(resource, rest)[0], second);
    }
  });
});
