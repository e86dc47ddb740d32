import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { KeyAssignment, OwnedRange } from '../keyAssignment.js';
import { applyDelta, diffAssignments, decodeDelta, encodeDelta } from '../keyAssignmentDelta.js';

const SEED = 1;
const STEP = 1_000;

/** Generates assignments whose ranges start at multiples of `STEP`, with gaps between them. */
function assignments(revision: number): fc.Arbitrary<KeyAssignment> {
  const range = fc.record({
    step: fc.nat(20),
    length: fc.integer({ min: 1, max: 5 }),
    owner: fc.nat(3),
    fence: fc.nat(4),
  });
  return fc.uniqueArray(range, { selector: ({ step }) => step }).map((drawn) => {
    const starts = [...drawn].sort((left, right) => left.step - right.step);
    const ranges = starts.map(({ step, length, owner, fence }, index): OwnedRange => {
      const next = starts[index + 1]?.step ?? Number.POSITIVE_INFINITY;
      return {
        from: step * STEP,
        to: Math.min(step + length, next) * STEP - 1,
        ownerId: `server-${owner.toString()}`,
        ownerIncarnation: 1,
        ownerAddress: '10.0.0.1:80',
        fence: fence + 1,
      };
    });
    return { revision, ranges };
  });
}

describe('keyAssignmentDelta', () => {
  it('turns the first assignment into the second when applied', () => {
    fc.assert(
      fc.property(assignments(4), assignments(5), (before, after) => {
        const received = decodeDelta(encodeDelta(diffAssignments(before, after)));
        assert.equal(applyDelta(before, received), after);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('does not apply to another revision', () => {
    const before = { revision: 4, ranges: [] };
    const change = diffAssignments(before, { revision: 5, ranges: [] });
    assert.is(applyDelta({ revision: 3, ranges: [] }, change), undefined);
  });

  it('contains only the ranges that differ', () => {
    const range = {
      from: 0,
      to: 9,
      ownerId: 'a',
      ownerIncarnation: 1,
      ownerAddress: '10.0.0.1:80',
      fence: 1,
    };
    const other = { ...range, from: 10, to: 19 };
    const change = diffAssignments(
      { revision: 1, ranges: [range, other] },
      { revision: 2, ranges: [range, { ...other, ownerId: 'b', fence: 2 }] },
    );
    assert.equal(change.removed, [10]);
    assert.is(change.added.length, 1);
  });

  it('fits into a datagram of 10 KB with 24 moves and the ranges merged with them', () => {
    const added = Array.from({ length: 100 }, (_, index) => ({
      from: index * 500,
      to: index * 500 + 499,
      ownerId: `i-0123456789-${index.toString()}`,
      ownerIncarnation: 1_777_677_000_000 + index,
      ownerAddress: `10.30.100.${index.toString()}:8525`,
      fence: 1_000,
    }));
    const removed = added.map(({ from }) => from);
    const encoded = encodeDelta({ base: 999, revision: 1_000, removed, added });
    const bytes = JSON.stringify(encoded).length;
    assert.ok(bytes <= 10_000, `${bytes.toString()} bytes`);
  });
});
