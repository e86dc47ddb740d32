import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { SlotResult, SlotRequirements } from '@hickoryhoist/dispatch/common/slotSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CoordinatedSlots } from '../coordinatedSlots.js';
import type { PeerMessage } from '../peerMessage.js';

const SERVICE = 'circulation';
const SLOTS = 2;
/** A server has one place beyond its slots. */
const PLACES = SLOTS + 1;

/** Entry VMs with slots of one server, on a paused clock and a network that can lose messages. */
class Rig {
  readonly clock = FakeTimers.install({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  readonly vms = new Map<string, CoordinatedSlots>();
  readonly silent = new Set<string>();
  /** Entry VMs whose process is late: it reads what has arrived only after its timers have run. */
  readonly late = new Set<string>();
  /** Milliseconds by which messages to an entry VM are late. */
  readonly delays = new Map<string, number>();
  readonly events: string[] = [];
  /** Which copy of each message gets lost: every n-th one. */
  losesEvery = Number.POSITIVE_INFINITY;
  #messages = 0;
  readonly #logger: Logger = {
    log: (_level, event) => {
      this.events.push(event);
    },
  };

  constructor(count: number) {
    const ids = Array.from({ length: count }, (_, index) => `vm-${index.toString()}`);
    const entryVms = ids.map((id) => ({ id, ipAddress: id, processorCores: 1 }));
    for (const self of entryVms) {
      const send = (to: string, message: PeerMessage): void => {
        this.#send(self.id, to, message);
      };
      const slots = new CoordinatedSlots({
        self,
        incarnation: self.id,
        entryVms: () => entryVms,
        send,
        sendTwice: (to, message) => {
          send(to, message);
          setTimeout(() => {
            send(to, message);
          }, 100);
        },
        logger: this.#logger,
      });
      slots.setServers(SERVICE, [
        { id: 'server-1', incarnation: 1, availabilityZone: 'z', slots: SLOTS, warmupMilliseconds: 0 },
      ]);
      this.vms.set(self.id, slots);
    }
  }

  acquire(
    vm: string,
    overrides: Partial<SlotRequirements> = {},
    signal = new AbortController().signal,
  ): Promise<SlotResult> {
    const now = performance.now();
    const wish: SlotRequirements = {
      serverId: undefined,
      excludedIds: [],
      availabilityZone: 'z',
      rank: 1,
      bodyBytes: 0,
      goalAt: now + 1_000,
      deadlineAt: now + 3_000,
      ...overrides,
    };
    return this.vms.get(vm)?.acquire(SERVICE, wish, signal) ?? Promise.reject(new Error(`no ${vm}`));
  }

  dispose(): void {
    this.vms.forEach((slots) => {
      slots.dispose();
    });
    this.clock.uninstall();
  }

  #send(from: string, to: string, message: PeerMessage): void {
    this.#messages += 1;
    if (this.#messages % this.losesEvery === 0) {
      return;
    }
    setTimeout(
      () => {
        if (!this.silent.has(from) && !this.silent.has(to)) {
          const receive = (): void => {
            this.vms.get(to)?.receive(from, message);
          };
          if (this.late.has(to)) {
            setImmediate(receive);
          } else {
            receive();
          }
        }
      },
      1 + (this.delays.get(to) ?? 0),
    );
  }
}

async function withRig(count: number, test: (rig: Rig) => Promise<void>): Promise<void> {
  const rig = new Rig(count);
  try {
    await test(rig);
  } finally {
    rig.dispose();
  }
}

function watch(results: readonly Promise<SlotResult>[]): { granted: SlotResult[]; refused: SlotResult[] } {
  const seen = { granted: [] as SlotResult[], refused: [] as SlotResult[] };
  for (const result of results) {
    void result.then((value) => {
      (value.kind === 'granted' ? seen.granted : seen.refused).push(value);
    });
  }
  return seen;
}

function finish(result: SlotResult | undefined): void {
  if (result?.kind === 'granted') {
    result.slot.finish('answered');
  }
}

describe('slots shared by all entry VMs', () => {
  it('are never handed out beyond the places of a server, whoever asks', async () => {
    await withRig(6, async (rig) => {
      const seen = watch([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
      await rig.clock.tickAsync(20);
      assert.is(seen.granted.length, PLACES);
      finish(seen.granted[0]);
      await rig.clock.tickAsync(20);
      assert.is(seen.granted.length, PLACES + 1);
    });
  });

  it('are handed out once each, and come back, when messages get lost', async () => {
    await withRig(4, async (rig) => {
      rig.losesEvery = 5;
      for (let round = 0; round < 20; round += 1) {
        const seen = watch([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
        await rig.clock.tickAsync(400);
        assert.ok(seen.granted.length > 0);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(4_000);
      }
      const last = watch([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
      await rig.clock.tickAsync(400);
      assert.ok(last.granted.length >= PLACES, 'no slot has leaked');
    });
  });

  it('are asked of the next entry VM within 100 ms when the coordinator is silent', async () => {
    await withRig(4, async (rig) => {
      for (const silent of rig.vms.keys()) {
        rig.silent.clear();
        rig.silent.add(silent);
        const others = [...rig.vms.keys()].filter((id) => id !== silent);
        const seen = watch(others.map((vm) => rig.acquire(vm)));
        await rig.clock.tickAsync(100);
        assert.is(seen.granted.length, others.length);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(5_000);
      }
    });
  });

  it('are waited for by a process that was itself too late to read the answer', async () => {
    await withRig(3, async (rig) => {
      for (const late of rig.vms.keys()) {
        rig.late.add(late);
        const seen = watch([rig.acquire(late)]);
        rig.clock.tick(200);
        await new Promise((resolve) => setImmediate(resolve));
        await rig.clock.tickAsync(1);
        assert.is(seen.granted.length, 1);
        seen.granted.forEach(finish);
        rig.late.clear();
        await rig.clock.tickAsync(1_000);
      }
      assert.equal(rig.events, []);
    });
  });

  it('are asked of a coordinator again as soon as it has answered, however late', async () => {
    await withRig(3, async (rig) => {
      const coordinatorOf = async (vm: string): Promise<string | undefined> => {
        const seen = watch([rig.acquire(vm)]);
        await rig.clock.tickAsync(100);
        const [granted] = seen.granted;
        finish(granted);
        return granted?.kind === 'granted' ? granted.slot.coordinatorId : undefined;
      };
      const usual = await coordinatorOf('vm-0');
      assert.ok(usual);
      const asker = [...rig.vms.keys()].find((id) => id !== usual) ?? '';
      rig.delays.set(usual, 150);
      assert.is.not(await coordinatorOf(asker), usual);
      rig.delays.clear();
      await rig.clock.tickAsync(200);
      assert.is(await coordinatorOf(asker), usual);
    });
  });

  it('tell the time of a server by its coordinator only, not by one that stood in for it', async () => {
    await withRig(3, async (rig) => {
      const askOnce = async (vm: string): Promise<string | undefined> => {
        const seen = watch([rig.acquire(vm, { serverId: 'server-1' })]);
        await rig.clock.tickAsync(150);
        const [granted] = seen.granted;
        finish(granted);
        await rig.clock.tickAsync(10);
        return granted?.kind === 'granted' ? granted.slot.coordinatorId : undefined;
      };
      const usual = await askOnce('vm-0');
      assert.ok(usual);
      const asker = [...rig.vms.keys()].find((id) => id !== usual) ?? '';
      rig.silent.add(usual);
      const substitute = await askOnce(asker);
      assert.is.not(substitute, usual);
      const telling = [...rig.vms].filter(([, slots]) => slots.serverTimes().has('server-1'));
      assert.equal(
        telling.map(([id]) => id),
        [usual],
      );
    });
  });

  it('are withdrawn when the caller leaves', async () => {
    await withRig(3, async (rig) => {
      const held = watch(Array.from({ length: PLACES }, () => rig.acquire('vm-0')));
      await rig.clock.tickAsync(20);
      assert.is(held.granted.length, PLACES);
      const caller = new AbortController();
      const left = watch([rig.acquire('vm-1', {}, caller.signal)]);
      await rig.clock.tickAsync(20);
      caller.abort();
      await rig.clock.tickAsync(20);
      assert.is(left.refused.length, 1);
      const next = watch([rig.acquire('vm-2')]);
      finish(held.granted[0]);
      await rig.clock.tickAsync(150);
      assert.is(next.granted.length, 1);
    });
  });
});
