import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { TableChanges } from '@hickoryhoist/store/common/rowStore.js';
import { splitIntoBatches } from '../changeBatch.js';

const SEED = 1;
const TABLE = 'servers';

type Changes = Extract<TableChanges, { kind: 'changes' }>;

/** Write or deletion of a key. Keys written by one transaction share a version. */
interface KeyEvent {
  readonly key: string;
  readonly isDeleted: boolean;
  readonly version: number;
}

/** Changes after a version as a change feed returns them: only the newest state of each key. */
function changesAfter(events: readonly KeyEvent[], after: number): Changes {
  const newest = new Map(events.filter(({ version }) => version > after).map((event) => [event.key, event]));
  const changed = [...newest.values()];
  const version = Math.max(after, ...events.map((event) => event.version));
  return {
    kind: 'changes',
    rows: changed
      .filter(({ isDeleted }) => !isDeleted)
      .map((event) => ({
        table: TABLE,
        key: event.key,
        value: event.version.toString(),
        version: event.version,
      })),
    deletedKeys: changed.filter(({ isDeleted }) => isDeleted).map(({ key }) => key),
    newestChange: version,
    version,
  };
}

function apply(state: Map<string, string>, { rows, deletedKeys }: Changes): void {
  deletedKeys.forEach((key) => state.delete(key));
  rows.forEach(({ key, value }) => state.set(key, value));
}

function stateAt(events: readonly KeyEvent[], upTo: number): Map<string, string> {
  const state = new Map<string, string>();
  apply(
    state,
    changesAfter(
      events.filter(({ version }) => version <= upTo),
      0,
    ),
  );
  return state;
}

const eventSequences = fc
  .array(
    fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd', 'e'), isDeleted: fc.boolean(), step: fc.nat(1) }),
    {
      minLength: 1,
      maxLength: 30,
    },
  )
  .map((steps) => {
    let version = 1;
    return steps.map(({ key, isDeleted, step }): KeyEvent => {
      version += step;
      return { key, isDeleted, version };
    });
  });

describe('splitIntoBatches', () => {
  it('leads to the same copy, whichever batch is the last to arrive', () => {
    fc.assert(
      fc.property(
        eventSequences,
        fc.nat(20),
        fc.nat(6),
        fc.integer({ min: 1, max: 6 }),
        (events, after, arrivedCount, maxBytes) => {
          const batches = splitIntoBatches(after, changesAfter(events, after), maxBytes);
          assert.is(batches[0]?.after, after);
          const copy = stateAt(events, after);
          let version = after;
          for (const batch of batches.slice(0, arrivedCount)) {
            assert.is(batch.after, version);
            apply(copy, batch.changes);
            version = batch.changes.version;
          }
          apply(copy, changesAfter(events, version));
          const sorted = (state: Map<string, string>): unknown => [...state].sort();
          assert.equal(sorted(copy), sorted(stateAt(events, Number.POSITIVE_INFINITY)));
        },
      ),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('creates no more batches than the message size requires', () => {
    const rows = Array.from({ length: 30 }, (_, index) => ({
      table: TABLE,
      key: `server-${index.toString()}`,
      value: 'x'.repeat(300),
      version: index + 1,
    }));
    const changes: Changes = { kind: 'changes', rows, deletedKeys: [], newestChange: 30, version: 30 };
    const batches = splitIntoBatches(0, changes, 4_000);
    assert.is(batches.length, 3);
    assert.is(batches.at(-1)?.changes.version, 30);
  });
});
