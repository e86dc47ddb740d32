import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { TableChanges } from '@hickoryhoist/store/common/rowStore.js';
import { divideChanges } from '../changeParts.js';

const SEED = 1;
const TABLE = 'servers';

type Changes = Extract<TableChanges, { kind: 'changes' }>;

/** What happened to a key; a transaction gives several keys one version. */
interface Event {
  readonly key: string;
  readonly isDeleted: boolean;
  readonly version: number;
}

/** Changes after a version as a feed tells them: the newest state of each key. */
function changesAfter(events: readonly Event[], after: number): Changes {
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

function stateOf(events: readonly Event[], upTo: number): Map<string, string> {
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

const histories = fc
  .array(
    fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd', 'e'), isDeleted: fc.boolean(), step: fc.nat(1) }),
    {
      minLength: 1,
      maxLength: 30,
    },
  )
  .map((drawn) => {
    let version = 1;
    return drawn.map(({ key, isDeleted, step }): Event => {
      version += step;
      return { key, isDeleted, version };
    });
  });

describe('changes that are passed on in parts', () => {
  it('lead to the same copy, whichever part is the last to arrive', () => {
    fc.assert(
      fc.property(
        histories,
        fc.nat(20),
        fc.nat(6),
        fc.integer({ min: 1, max: 6 }),
        (events, after, arrive, bytes) => {
          const parts = divideChanges(after, changesAfter(events, after), bytes);
          assert.is(parts[0]?.after, after);
          const copy = stateOf(events, after);
          let version = after;
          for (const part of parts.slice(0, arrive)) {
            assert.is(part.after, version);
            apply(copy, part.changes);
            version = part.changes.version;
          }
          apply(copy, changesAfter(events, version));
          const sorted = (state: Map<string, string>): unknown => [...state].sort();
          assert.equal(sorted(copy), sorted(stateOf(events, Number.POSITIVE_INFINITY)));
        },
      ),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('are no more than needed for the size of a message', () => {
    const rows = Array.from({ length: 30 }, (_, index) => ({
      table: TABLE,
      key: `server-${index.toString()}`,
      value: 'x'.repeat(300),
      version: index + 1,
    }));
    const changes: Changes = { kind: 'changes', rows, deletedKeys: [], newestChange: 30, version: 30 };
    const parts = divideChanges(0, changes, 4_000);
    assert.is(parts.length, 3);
    assert.is(parts.at(-1)?.changes.version, 30);
  });
});
