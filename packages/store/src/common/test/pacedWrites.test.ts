import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { MemoryRowStore } from '@hickoryhoist/standIns/common/emulator/memoryRowStore.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { paceFailedWrites } from '../pacedWrites.js';

const WRITE = { expected: [], puts: [{ table: 'control', key: 'a', value: 'one' }], deletes: [] };
const TICK_MILLISECONDS = 50;
/** A refused writer is replaced after about two seconds. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after an outage within which a write is made. */
const MAX_DELAY_MILLISECONDS = 450;

describe('paceFailedWrites', () => {
  it('makes few calls while the store refuses a writer, and writes soon after', async () => {
    const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    try {
      const store = new MemoryRowStore();
      const connected = store.connect('vm');
      const paced = paceFailedWrites(connected);
      store.refuse('vm', true);
      let failures = 0;
      const tick = async (): Promise<void> => {
        paced.transactRows(WRITE).catch(() => (failures += 1));
        await clock.tickAsync(TICK_MILLISECONDS);
      };
      for (let elapsed = 0; elapsed < OUTAGE_MILLISECONDS; elapsed += TICK_MILLISECONDS) {
        await tick();
      }
      assert.is(failures, OUTAGE_MILLISECONDS / TICK_MILLISECONDS);
      assert.ok(connected.calls <= 7, `${connected.calls.toString()} calls`);
      store.refuse('vm', false);
      for (let elapsed = 0; elapsed < MAX_DELAY_MILLISECONDS; elapsed += TICK_MILLISECONDS) {
        await tick();
      }
      assert.is(store.row('control', 'a')?.value, 'one');
      const { calls } = connected;
      await tick();
      await tick();
      assert.is(connected.calls, calls + 2);
    } finally {
      clock.uninstall();
    }
  });

  it('says truly that a write that it refuses has not been applied', async () => {
    const store = new MemoryRowStore();
    const paced = paceFailedWrites(store.connect('vm'));
    store.refuse('vm', true);
    await paced.transactRows(WRITE).catch(() => undefined);
    store.refuse('vm', false);
    await paced.transactRows(WRITE).then(
      () => {
        assert.unreachable('the write was not refused');
      },
      (error: unknown) => {
        assert.is((error as { mayHaveApplied?: boolean }).mayHaveApplied, false);
      },
    );
    assert.is(store.row('control', 'a'), undefined);
  });
});
