import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { AssignerElection } from '../assignerElection.js';
import { ASSIGNER_ROW_KEY, CONTROL_TABLE } from '../assignmentStore.js';

const TICK_MILLISECONDS = 50;

describe('AssignerElection', () => {
  it('does not begin before the rank is known, although time passes during a check', async () => {
    const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    try {
      const store = new MemoryRowStore();
      const situation = { isRankKnown: false };
      const election = new AssignerElection({
        self: { id: 'vm-1', incarnation: '1' },
        store: store.connect('vm-1'),
        logger: silentLogger,
        assignerRow: () => undefined,
        // A process that knows no other takes itself for the first candidate.
        rank: () => 0,
        isStoreReachable: () => {
          clock.tick(1);
          return true;
        },
        isRankKnown: () => situation.isRankKnown,
        peerIds: () => [],
        hasEnded: () => false,
        recordGap: () => 'none',
        isTermSettled: () => true,
      });
      const run = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MILLISECONDS) {
          election.tick();
          await clock.tickAsync(TICK_MILLISECONDS);
        }
      };
      await run(1_000);
      assert.is(store.calls, 0);
      situation.isRankKnown = true;
      await run(200);
      assert.ok(election.heldTerm);
    } finally {
      clock.uninstall();
    }
  });

  describe('when the store comes back from a copy that names this process, which was replaced since', () => {
    it('waits for the lease of the process that replaced it', async () => {
      const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance'] });
      try {
        const store = new MemoryRowStore();
        const election = new AssignerElection({
          self: { id: 'vm-1', incarnation: '1' },
          store: store.connect('vm-1'),
          logger: silentLogger,
          assignerRow: () => store.row(CONTROL_TABLE, ASSIGNER_ROW_KEY),
          rank: () => 0,
          isStoreReachable: () => true,
          isRankKnown: () => true,
          peerIds: () => ['vm-2'],
          hasEnded: () => false,
          recordGap: () => 'none',
          isTermSettled: () => true,
        });
        const run = async (milliseconds: number): Promise<void> => {
          for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MILLISECONDS) {
            election.tick();
            await clock.tickAsync(TICK_MILLISECONDS);
          }
        };
        await run(1_000);
        assert.is(election.heldTerm?.term, 1);
        const copy = store.takeCopy();
        const successor = { term: 2, id: 'vm-2', incarnation: '2', hasResigned: false };
        store.put(CONTROL_TABLE, ASSIGNER_ROW_KEY, JSON.stringify(successor));
        await run(200);
        assert.is(election.heldTerm, undefined);
        store.returnFrom(copy);
        await run(2_000);
        assert.is(election.heldTerm?.term, 3);
        assert.ok(election.previousLeaseEndsAt > performance.now());
      } finally {
        clock.uninstall();
      }
    });
  });
});
