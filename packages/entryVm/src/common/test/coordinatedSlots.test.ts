import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { SlotResult, SlotRequirements } from '@hickoryhoist/dispatch/common/slotSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CoordinatedSlots } from '../coordinatedSlots.js';
import type { CoordinatorCandidate } from '../coordinatorSelector.js';
import type { PeerMessage } from '../peerMessage.js';

const SERVICE = 'circulation';
const SLOTS = 2;
/** One attempt may be queued at a server beyond its slots. */
const MAX_ATTEMPTS_PER_SERVER = SLOTS + 1;

/** Entry VMs that share the slots of one server, with a fake clock and a network that can drop messages. */
class Rig {
  readonly clock = FakeTimers.install({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  readonly vms = new Map<string, CoordinatedSlots>();
  /** Entry VMs that neither send nor receive messages. */
  readonly partitioned = new Set<string>();
  /** Entry VMs with a blocked event loop: they read received messages only after their timers have run. */
  readonly blockedEventLoops = new Set<string>();
  /** Additional delay in milliseconds of messages to an entry VM. */
  readonly delays = new Map<string, number>();
  readonly events: string[] = [];
  /** Every n-th message is dropped. */
  dropsEvery = Number.POSITIVE_INFINITY;
  /** Number of messages that each VM has sent, by type. */
  readonly sent = new Map<PeerMessage['type'], number>();
  /** Messages of this type that are still to be dropped. */
  readonly drops = new Map<PeerMessage['type'], number>();
  #messageCount = 0;
  readonly #logger: Logger = {
    log: (_level, event) => {
      this.events.push(event);
    },
  };

  /** @param older entry VMs that run a version without `slot-check`. */
  constructor(
    count: number,
    readonly older: readonly string[] = [],
  ) {
    const ids = Array.from({ length: count }, (_, index) => `vm-${index.toString()}`);
    const listFor = (reader: string): readonly CoordinatorCandidate[] =>
      ids.map((id) => ({
        ...{ id, ipAddress: id, processorCores: 1 },
        checksSlots: older.includes(id) || older.includes(reader) ? undefined : true,
      }));
    for (const self of listFor('')) {
      const entryVms = listFor(self.id);
      const send = (to: string, message: PeerMessage): void => {
        this.#send(self.id, to, message);
      };
      const slots = new CoordinatedSlots({
        self,
        incarnation: self.id,
        entryVms: () => entryVms,
        send,
        sendWithDuplicate: (to, message) => {
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
    const requirements: SlotRequirements = {
      serverId: undefined,
      excludedIds: [],
      availabilityZone: 'z',
      rank: 1,
      bodyBytes: 0,
      goalAt: now + 1_000,
      deadlineAt: now + 3_000,
      ...overrides,
    };
    return this.vms.get(vm)?.acquire(SERVICE, requirements, signal) ?? Promise.reject(new Error(`no ${vm}`));
  }

  dispose(): void {
    this.vms.forEach((slots) => {
      slots.dispose();
    });
    this.clock.uninstall();
  }

  #send(from: string, to: string, message: PeerMessage): void {
    this.#messageCount += 1;
    this.sent.set(message.type, (this.sent.get(message.type) ?? 0) + 1);
    const drops = this.drops.get(message.type) ?? 0;
    this.drops.set(message.type, Math.max(0, drops - 1));
    if (this.#messageCount % this.dropsEvery === 0 || drops > 0) {
      return;
    }
    if (message.type === 'slot-check') {
      assert.not(this.older.includes(to), 'an older version cannot read the datagram');
    }
    setTimeout(
      () => {
        if (!this.partitioned.has(from) && !this.partitioned.has(to)) {
          const receive = (): void => {
            this.vms.get(to)?.receive(from, message);
          };
          if (this.blockedEventLoops.has(to)) {
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

async function withRig(
  count: number,
  test: (rig: Rig) => Promise<void>,
  older?: readonly string[],
): Promise<void> {
  const rig = new Rig(count, older);
  try {
    await test(rig);
  } finally {
    rig.dispose();
  }
}

function collectResults(results: readonly Promise<SlotResult>[]): {
  granted: SlotResult[];
  refused: SlotResult[];
} {
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

describe('CoordinatedSlots', () => {
  it('never exceeds the limit of a server, whichever entry VMs request slots', async () => {
    await withRig(6, async (rig) => {
      const seen = collectResults([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
      await rig.clock.tickAsync(20);
      assert.is(seen.granted.length, MAX_ATTEMPTS_PER_SERVER);
      finish(seen.granted[0]);
      await rig.clock.tickAsync(20);
      assert.is(seen.granted.length, MAX_ATTEMPTS_PER_SERVER + 1);
    });
  });

  it('grants each slot once, and releases it, when messages are dropped', async () => {
    await withRig(4, async (rig) => {
      rig.dropsEvery = 5;
      for (let round = 0; round < 20; round += 1) {
        const seen = collectResults([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
        await rig.clock.tickAsync(400);
        assert.ok(seen.granted.length > 0);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(4_000);
      }
      const last = collectResults([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
      await rig.clock.tickAsync(400);
      assert.ok(last.granted.length >= MAX_ATTEMPTS_PER_SERVER, 'no slot has leaked');
    });
  });

  it('requests a slot from the next entry VM within 100 ms if the coordinator is unresponsive', async () => {
    await withRig(4, async (rig) => {
      for (const unresponsive of rig.vms.keys()) {
        rig.partitioned.clear();
        rig.partitioned.add(unresponsive);
        const others = [...rig.vms.keys()].filter((id) => id !== unresponsive);
        const seen = collectResults(others.map((vm) => rig.acquire(vm)));
        await rig.clock.tickAsync(100);
        assert.is(seen.granted.length, others.length);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(5_000);
      }
    });
  });

  it('does not suspect a coordinator when the requesting process itself read the response late', async () => {
    await withRig(3, async (rig) => {
      for (const blocked of rig.vms.keys()) {
        rig.blockedEventLoops.add(blocked);
        const seen = collectResults([rig.acquire(blocked)]);
        rig.clock.tick(200);
        await new Promise((resolve) => setImmediate(resolve));
        await rig.clock.tickAsync(1);
        assert.is(seen.granted.length, 1);
        seen.granted.forEach(finish);
        rig.blockedEventLoops.clear();
        await rig.clock.tickAsync(1_000);
      }
      assert.equal(rig.events, []);
    });
  });

  it('uses a coordinator again as soon as it has responded, however late', async () => {
    await withRig(3, async (rig) => {
      const coordinatorOf = async (vm: string): Promise<string | undefined> => {
        const seen = collectResults([rig.acquire(vm)]);
        await rig.clock.tickAsync(100);
        const [granted] = seen.granted;
        finish(granted);
        return granted?.kind === 'granted' ? granted.slot.coordinatorId : undefined;
      };
      const usual = await coordinatorOf('vm-0');
      assert.ok(usual);
      const requester = [...rig.vms.keys()].find((id) => id !== usual) ?? '';
      rig.delays.set(usual, 150);
      assert.is.not(await coordinatorOf(requester), usual);
      rig.delays.clear();
      await rig.clock.tickAsync(200);
      assert.is(await coordinatorOf(requester), usual);
    });
  });

  it('queues a request once, although a coordinator that was skipped answers late that it is queued there', async () => {
    await withRig(3, async (rig) => {
      const [requester = '', ...others] = rig.vms.keys();
      others.forEach((id) => rig.delays.set(id, 400));
      const requests = Array.from({ length: MAX_ATTEMPTS_PER_SERVER + 1 }, () => rig.acquire(requester));
      const seen = collectResults(requests);
      await rig.clock.tickAsync(900);
      assert.is(seen.granted.length, MAX_ATTEMPTS_PER_SERVER);
      assert.is(rig.vms.get(requester)?.waiting, 1);
      finish(seen.granted[0]);
      await rig.clock.tickAsync(900);
      assert.is(seen.granted.length, MAX_ATTEMPTS_PER_SERVER + 1);
      assert.is(rig.vms.get(requester)?.waiting, 0);
      seen.granted.slice(1).forEach(finish);
    });
  });

  it('reports the processing time of a server only at its usual coordinator, not at a substitute', async () => {
    await withRig(3, async (rig) => {
      const acquireOnce = async (vm: string): Promise<string | undefined> => {
        const seen = collectResults([rig.acquire(vm, { serverId: 'server-1' })]);
        await rig.clock.tickAsync(150);
        const [granted] = seen.granted;
        finish(granted);
        await rig.clock.tickAsync(10);
        return granted?.kind === 'granted' ? granted.slot.coordinatorId : undefined;
      };
      const usual = await acquireOnce('vm-0');
      assert.ok(usual);
      const requester = [...rig.vms.keys()].find((id) => id !== usual) ?? '';
      rig.partitioned.add(usual);
      const substitute = await acquireOnce(requester);
      assert.is.not(substitute, usual);
      const reporting = [...rig.vms].filter(([, slots]) => slots.processingTimes().has('server-1'));
      assert.equal(
        reporting.map(([id]) => id),
        [usual],
      );
    });
  });

  it('keeps a slot in use that its coordinator grants again, because the request was repeated', async () => {
    await withRig(3, async (rig) => {
      for (const requester of rig.vms.keys()) {
        rig.delays.set(requester, 50);
        const seen = collectResults(
          Array.from({ length: MAX_ATTEMPTS_PER_SERVER }, () => rig.acquire(requester)),
        );
        await rig.clock.tickAsync(200);
        assert.is(seen.granted.length, MAX_ATTEMPTS_PER_SERVER);
        rig.delays.clear();
        const others = collectResults([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
        await rig.clock.tickAsync(200);
        assert.is(others.granted.length, 0, `${requester}: the server is full`);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(20);
        others.granted.forEach(finish);
        await rig.clock.tickAsync(4_000);
      }
    });
  });

  describe('when the end of an attempt is lost', () => {
    const VMS = ['vm-0', 'vm-1', 'vm-2'];
    /** Longest time for which a server may miss a slot that requests wait for, beyond a round trip. */
    const MAX_HELD_MILLISECONDS = 250 + 10;

    async function loseFinish(rig: Rig, requester: string, inUseMilliseconds: number): Promise<void> {
      const seen = collectResults(
        Array.from({ length: MAX_ATTEMPTS_PER_SERVER }, () => rig.acquire(requester)),
      );
      await rig.clock.tickAsync(inUseMilliseconds);
      const others = collectResults([...rig.vms.keys()].map((vm) => rig.acquire(vm)));
      await rig.clock.tickAsync(20);
      rig.drops.set('finish', 1);
      seen.granted.slice(0, 1).forEach(finish);
      await rig.clock.tickAsync(MAX_HELD_MILLISECONDS);
      assert.is(others.granted.length, 1, `${requester} after ${inUseMilliseconds.toString()} ms`);
      rig.drops.clear();
      seen.granted.slice(1).forEach(finish);
      await rig.clock.tickAsync(20);
      others.granted.forEach(finish);
      await rig.clock.tickAsync(5_000);
    }

    it('gives its slot to a waiting request within 250 ms, and no other slot', () =>
      withRig(VMS.length, async (rig) => {
        for (const requester of VMS) {
          for (const inUseMilliseconds of [25, 190, 260, 900]) {
            await loseFinish(rig, requester, inUseMilliseconds);
          }
        }
      }));

    for (const older of [['vm-0'], ['vm-0', 'vm-1'], VMS]) {
      it(`does so while ${older.join(', ')} of three run an older version`, () =>
        withRig(
          VMS.length,
          async (rig) => {
            for (const requester of VMS) {
              await loseFinish(rig, requester, 190);
            }
          },
          older,
        ));
    }

    it('leaves the slot to a request whose grant was lost', () =>
      withRig(VMS.length, async (rig) => {
        for (const requester of VMS) {
          const inUse = collectResults(
            Array.from({ length: MAX_ATTEMPTS_PER_SERVER }, () => rig.acquire(requester)),
          );
          await rig.clock.tickAsync(20);
          const first = collectResults([rig.acquire(requester)]);
          await rig.clock.tickAsync(20);
          const second = collectResults(VMS.map((vm) => rig.acquire(vm)));
          await rig.clock.tickAsync(20);
          rig.drops.set('granted', 1);
          inUse.granted.slice(0, 1).forEach(finish);
          await rig.clock.tickAsync(600);
          assert.equal([first.granted.length, second.granted.length], [1, 0]);
          rig.drops.clear();
          [...inUse.granted.slice(1), ...first.granted].forEach(finish);
          await rig.clock.tickAsync(20);
          second.granted.forEach(finish);
          await rig.clock.tickAsync(5_000);
        }
      }));

    it('gives it back after a second although nothing waits for it', () =>
      withRig(VMS.length, async (rig) => {
        for (const requester of VMS) {
          const seen = collectResults([rig.acquire(requester)]);
          await rig.clock.tickAsync(20);
          rig.drops.set('finish', 1);
          seen.granted.forEach(finish);
          await rig.clock.tickAsync(1_100);
          const next = collectResults(
            Array.from({ length: MAX_ATTEMPTS_PER_SERVER }, () => rig.acquire(requester)),
          );
          await rig.clock.tickAsync(20);
          assert.is(next.granted.length, MAX_ATTEMPTS_PER_SERVER);
          next.granted.forEach(finish);
          await rig.clock.tickAsync(20);
        }
      }));
  });

  it('sends the end of an attempt twice if the server states a rate, which a check would not repeat', () =>
    withRig(2, async (rig) => {
      for (const vm of rig.vms.keys()) {
        const seen = collectResults([rig.acquire(vm, { serverId: 'server-1' })]);
        await rig.clock.tickAsync(100);
        assert.is(seen.granted.length, 1);
        const [result] = seen.granted;
        if (result?.kind === 'granted') {
          result.slot.finish('answered', {
            isLeaving: false,
            pauseMilliseconds: undefined,
            requestsPerSecond: 2,
            unreadable: [],
          });
        }
        await rig.clock.tickAsync(1_000);
      }
      assert.is(rig.sent.get('finish'), 2, 'one of the two is the coordinator itself');
    }));

  it('needs three messages for a request that waits for nothing and ends within a second', () =>
    withRig(3, async (rig) => {
      for (const requester of rig.vms.keys()) {
        const seen = collectResults([rig.acquire(requester)]);
        await rig.clock.tickAsync(900);
        seen.granted.forEach(finish);
        await rig.clock.tickAsync(5_000);
      }
      const others = rig.vms.size - 1;
      assert.equal(Object.fromEntries(rig.sent), { ask: others, granted: others, finish: others });
    }));

  it('withdraws a request when its caller disconnects', async () => {
    await withRig(3, async (rig) => {
      const inUse = collectResults(
        Array.from({ length: MAX_ATTEMPTS_PER_SERVER }, () => rig.acquire('vm-0')),
      );
      await rig.clock.tickAsync(20);
      assert.is(inUse.granted.length, MAX_ATTEMPTS_PER_SERVER);
      const caller = new AbortController();
      const withdrawn = collectResults([rig.acquire('vm-1', {}, caller.signal)]);
      await rig.clock.tickAsync(20);
      caller.abort();
      await rig.clock.tickAsync(20);
      assert.is(withdrawn.refused.length, 1);
      const next = collectResults([rig.acquire('vm-2')]);
      finish(inUse.granted[0]);
      await rig.clock.tickAsync(150);
      assert.is(next.granted.length, 1);
    });
  });
});
