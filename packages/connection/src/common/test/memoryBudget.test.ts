import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { MemoryBudget, type MemoryReservation } from '../memoryBudget.js';

const MEGABYTE = 1_000_000;

type Step =
  | { readonly kind: 'reserve' | 'hold'; readonly bytes: number }
  | { readonly kind: 'grow'; readonly index: number; readonly bytes: number }
  | { readonly kind: 'dispose'; readonly index: number };

const bytes = fc.integer({ min: 0, max: 40 * MEGABYTE });
const index = fc.nat(20);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('reserve' as const, 'hold' as const), bytes }),
  fc.record({ kind: fc.constant('grow' as const), index, bytes }),
  fc.record({ kind: fc.constant('dispose' as const), index }),
);

describe('MemoryBudget', () => {
  it('is never exceeded, and empty again once everything is released', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const budget = new MemoryBudget(84 * MEGABYTE);
        const reservations: MemoryReservation[] = [];
        for (const current of steps) {
          switch (current.kind) {
            case 'reserve':
              reservations.push(...[budget.reserve(current.bytes) ?? []].flat());
              break;
            case 'hold':
              reservations.push(budget.hold(current.bytes, () => undefined));
              break;
            case 'grow':
              reservations[current.index]?.tryGrow(current.bytes);
              break;
            case 'dispose':
              reservations[current.index]?.dispose();
          }
          assert.ok(budget.usedBytes >= 0 && budget.usedBytes <= budget.maxBytes);
        }
        reservations.forEach((reservation) => {
          reservation.dispose();
          reservation.dispose();
        });
        assert.is(budget.usedBytes, 0);
      }),
    );
  });

  describe('when large bodies are uploaded at once', () => {
    it('admits those that fit completely and keeps room for small ones', () => {
      const budget = new MemoryBudget(140 * MEGABYTE);
      const uploads = [1, 2, 3].map(() => budget.reserve(60 * MEGABYTE));
      assert.equal(
        uploads.map((upload) => upload !== undefined),
        [true, true, false],
      );
      assert.ok(budget.reserve(1_200));
      uploads[0]?.dispose();
      assert.ok(budget.reserve(60 * MEGABYTE));
    });
  });

  describe('when responses are read slowly', () => {
    it('discards the largest one that is held, and refuses new bodies meanwhile', () => {
      const budget = new MemoryBudget(10 * MEGABYTE);
      const discarded: string[] = [];
      const hold = (name: string, size: number): MemoryReservation =>
        budget.hold(size, () => discarded.push(name));
      hold('first', 4 * MEGABYTE);
      hold('second', 5 * MEGABYTE);
      assert.is(budget.reserve(MEGABYTE), undefined);
      hold('third', 3 * MEGABYTE);
      assert.equal(discarded, ['second']);
      hold('fourth', 6 * MEGABYTE);
      assert.equal(discarded, ['second', 'fourth']);
      assert.is(budget.usedBytes, 7 * MEGABYTE);
    });
  });
});
