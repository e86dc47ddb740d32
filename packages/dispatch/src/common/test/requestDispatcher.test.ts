import * as assert from 'uvu/assert';
import { toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { CallerRequest, RequestOutcome } from '../callerRequest.js';
import { CrashingRequestDetector } from '../crashingRequestDetector.js';
import { RequestDispatcher, type RoutingView } from '../requestDispatcher.js';
import { RetryBudget } from '../retryBudget.js';
import type { ServerCallResult, ServerTransport } from '../serverCall.js';
import type { ServerRecord } from '../serverRecord.js';
import type { SlotResult, SlotSource, SlotRequirements } from '../slotSource.js';

const lost: ServerCallResult = { kind: 'lost', reason: 'connection-lost' };
const refused: ServerCallResult = { kind: 'refused', refusal: 'overloaded' };
const misdirected: ServerCallResult = { kind: 'refused', refusal: 'misdirected' };
const unwritten: ServerCallResult = { kind: 'not-written' };
const answered: ServerCallResult = { kind: 'answered', status: 200, headers: {}, body: Buffer.from('ok') };

function requestOf(
  kind: CallerRequest['route']['kind'],
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  const now = performance.now();
  return {
    id: 'one',
    host: 'example',
    method: 'POST',
    target: '/loans',
    headers: {},
    body: Buffer.from('book=7'),
    key: undefined,
    route: {
      name: 'loan',
      host: 'example',
      pathPrefix: '/',
      kind,
      timeoutMilliseconds: 2_000,
      goalMilliseconds: 1_000,
      rank: 1,
      maxAttempts: 2,
      services: [],
    },
    service: 'circulation',
    isKeyed: false,
    arrivedAt: now,
    goalAt: now + 1_000,
    deadlineAt: now + 2_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}

function serverOf(id: string): ServerRecord {
  return {
    id,
    incarnation: 1,
    service: 'circulation',
    address: id,
    availabilityZone: 'z',
    slots: 2,
    phase: 'ready',
    warmupMilliseconds: 0,
  };
}

interface Play {
  readonly outcome: RequestOutcome;
  readonly sent: number;
}

/** Dispatches requests one after the other; each attempt ends with the next of the results. */
async function play(
  requests: readonly CallerRequest[],
  results: readonly ServerCallResult[],
  overrides: Partial<RoutingView> = {},
  extra = 60,
): Promise<readonly Play[]> {
  const waiting = [...results];
  let sent = 0;
  const slots = {
    acquire: (): Promise<SlotResult> =>
      Promise.resolve({
        kind: 'granted',
        slot: {
          serverId: `server-${sent.toString()}`,
          coordinatorId: 'vm-1',
          finish: () => undefined,
        },
      }),
  };
  const transport = {
    call: (): Promise<ServerCallResult> => {
      sent += 1;
      return Promise.resolve(waiting.shift() ?? answered);
    },
  };
  const dispatcher = dispatcherOf(slots, transport, overrides, extra);
  const plays: Play[] = [];
  for (const request of requests) {
    const before = sent;
    plays.push({ outcome: await dispatcher.dispatch(request), sent: sent - before });
  }
  return plays;
}

function dispatcherOf(
  slots: SlotSource,
  transport: ServerTransport,
  overrides: Partial<RoutingView>,
  extra: number,
): RequestDispatcher {
  const knowledge: RoutingView = {
    server: serverOf,
    ownerOf: () => undefined,
    isOwnershipInTransfer: () => false,
    hasUnconfirmedOwner: () => false,
    receivesOwnerUpdates: () => true,
    maxIdleConnections: () => 4,
    onDidChangeOwners: () => toDisposable(() => undefined),
    pause: () => Promise.resolve(),
    ...overrides,
  };
  const allowance = new RetryBudget(
    { retriesPerRequest: 0, baseRetriesPerWindow: extra, windowMilliseconds: 10_000 },
    () => 1,
  );
  return new RequestDispatcher(
    'z',
    slots,
    transport,
    knowledge,
    allowance,
    new CrashingRequestDetector(),
    silentLogger,
  );
}

function playOne(
  request: CallerRequest,
  slots: SlotSource,
  overrides: Partial<RoutingView>,
): Promise<RequestOutcome> {
  const transport = { call: () => Promise.resolve(answered) };
  return dispatcherOf(slots, transport, overrides, 60).dispatch(request);
}

describe('a request that must not double', () => {
  for (const kind of ['at-most-once', 'upload'] as const) {
    it(`is not sent again after its connection was lost (${kind})`, async () => {
      const [first] = await play([requestOf(kind)], [lost]);
      assert.equal(first, { outcome: { kind: 'unknown', reason: 'connection-lost' }, sent: 1 });
    });

    it(`is sent again with proof that it was not run (${kind})`, async () => {
      for (const proof of [refused, unwritten]) {
        const [first] = await play([requestOf(kind)], [proof]);
        assert.ok(first);
        assert.is(first.outcome.kind, 'answered');
        assert.is(first.sent, 2);
      }
    });
  }

  it('is told as not run when every attempt was refused', async () => {
    const [first] = await play(
      [requestOf('at-most-once')],
      Array.from({ length: 9 }, () => refused),
    );
    assert.is(first?.outcome.kind, 'not-run');
  });
});

describe('an idempotent request', () => {
  it('is sent to as many servers as its route allows', async () => {
    const [first] = await play([requestOf('idempotent')], [lost, lost, lost]);
    assert.equal(first, { outcome: { kind: 'unknown', reason: 'connection-lost' }, sent: 2 });
  });

  it('is never told as not run while one of its attempts is in doubt', async () => {
    const [first] = await play([requestOf('idempotent')], [lost, refused, refused, refused, refused]);
    assert.is(first?.outcome.kind, 'unknown');
  });

  it('is not sent again when the allowance is spent', async () => {
    const plays = await play(
      [requestOf('idempotent'), requestOf('idempotent', { target: '/other' })],
      [lost, answered, lost],
      {},
      4,
    );
    assert.equal(
      plays.map(({ sent }) => sent),
      [2, 1],
    );
  });

  it('is not sent for a caller that has left', async () => {
    const [first] = await play([requestOf('idempotent', { signal: AbortSignal.abort() })], [answered]);
    assert.is(first?.sent, 0);
  });
});

describe('a request on a key', () => {
  const keyed = { isKeyed: true, key: 7 };

  it('without an owner is not run', async () => {
    const [first] = await play([requestOf('idempotent', keyed)], []);
    assert.is(first?.outcome.kind === 'not-run' && first.outcome.reason, 'no-owner');
    assert.is(first?.sent, 0);
  });

  it('waits for the next owner while the keys are handed over', async () => {
    let looks = 0;
    const [first] = await play([requestOf('idempotent', keyed)], [], {
      isOwnershipInTransfer: () => {
        looks += 1;
        return looks < 4;
      },
      ownerOf: () => 'server-0',
    });
    assert.is(first?.outcome.kind, 'answered');
    assert.is(looks, 4);
  });
});

describe('a slot of a server that is leaving as far as this entry VM knows', () => {
  it('is given back for one of another server, also when the coordinator does not know yet', async () => {
    const finished: string[] = [];
    const slots = {
      acquire: (_service: string, { excludedIds }: SlotRequirements): Promise<SlotResult> => {
        const serverId = ['server-1', 'server-2'].find((id) => !excludedIds.includes(id)) ?? 'server-1';
        return Promise.resolve({
          kind: 'granted',
          slot: { serverId, coordinatorId: 'vm-1', finish: () => finished.push(serverId) },
        });
      },
    };
    const outcome = await playOne(requestOf('at-most-once'), slots, {
      server: (id) => (id === 'server-1' ? undefined : serverOf(id)),
    });
    assert.is(outcome.kind === 'answered' && outcome.serverId, 'server-2');
    assert.equal(finished, ['server-1', 'server-2']);
  });
});

describe('a request whose key is being handed over', () => {
  const keyed = { isKeyed: true, key: 7 };

  it('is sent once to the owner that has given the key up, and then to the next owner', async () => {
    let pauses = 0;
    const [first] = await play([requestOf('at-most-once', keyed)], [misdirected], {
      ownerOf: () => (pauses < 20 ? 'server-0' : 'server-1'),
      pause: () => {
        pauses += 1;
        return Promise.resolve();
      },
    });
    assert.is(first?.outcome.kind, 'answered');
    assert.is(first?.sent, 2);
  });

  for (const { name, newAfterPauses } of [
    { name: 'an owner that has not been granted the key yet', newAfterPauses: 0 },
    { name: 'the same server once it is the owner anew', newAfterPauses: 5 },
  ]) {
    it(`is sent again to ${name}`, async () => {
      const results = [misdirected, answered];
      const asked: string[] = [];
      let pauses = 0;
      const slots = {
        acquire: (): Promise<SlotResult> =>
          Promise.resolve({
            kind: 'granted',
            slot: { serverId: 'server-1', coordinatorId: 'vm-1', finish: () => undefined },
          }),
      };
      const transport = {
        call: ({ serverId }: { serverId: string }): Promise<ServerCallResult> => {
          asked.push(serverId);
          return Promise.resolve(results.shift() ?? lost);
        },
      };
      const knowledge = {
        ownerOf: () => 'server-1',
        hasUnconfirmedOwner: () => pauses >= newAfterPauses,
        pause: () => {
          pauses += 1;
          return Promise.resolve();
        },
      };
      const outcome = await dispatcherOf(slots, transport, knowledge, 60).dispatch(
        requestOf('idempotent', keyed),
      );
      assert.is(outcome.kind, 'answered');
      assert.equal(asked, ['server-1', 'server-1']);
      assert.ok(pauses <= newAfterPauses + 1, `${pauses.toString()} pauses`);
    });
  }

  it('is refused at once by an entry VM that is not told of owners', async () => {
    let pauses = 0;
    const [first] = await play([requestOf('idempotent', keyed)], [misdirected], {
      ownerOf: () => 'server-0',
      receivesOwnerUpdates: () => false,
      pause: () => {
        pauses += 1;
        return Promise.resolve();
      },
    });
    assert.is(first?.outcome.kind === 'not-run' && first.outcome.reason, 'no-owner');
    assert.is(pauses, 0);
  });

  it('is told as not run, with one attempt, when no other owner comes in time', async () => {
    const goalAt = performance.now() + 30;
    const [first] = await play(
      [requestOf('idempotent', { ...keyed, goalAt, deadlineAt: goalAt + 50 })],
      [misdirected, misdirected, misdirected],
      { ownerOf: () => 'server-0', pause: () => new Promise((resolve) => setTimeout(resolve, 5)) },
    );
    assert.is(first?.outcome.kind === 'not-run' && first.outcome.reason, 'no-owner');
    assert.is(first?.sent, 1);
  });
});

describe('a request whose caller leaves while its key is handed over', () => {
  it('does not ask for a slot any more', async () => {
    const caller = new AbortController();
    let asked = 0;
    const slots = {
      acquire: (): Promise<SlotResult> => {
        asked += 1;
        return Promise.resolve({
          kind: 'refused',
          refusal: 'overloaded',
          retryAfterMilliseconds: 0,
          coordinatorId: 'vm-1',
          basis: undefined,
        });
      },
    };
    const outcome = await playOne(
      requestOf('idempotent', { isKeyed: true, key: 5, signal: caller.signal }),
      slots,
      {
        ownerOf: () => 'server-1',
        isOwnershipInTransfer: () => true,
        pause: () => {
          caller.abort();
          return Promise.resolve();
        },
      },
    );
    assert.is(outcome.kind, 'not-run');
    assert.is(asked, 0);
  });
});

describe('a request that crashes servers', () => {
  it('is refused as not run after two servers', async () => {
    const requests = Array.from({ length: 5 }, () => requestOf('at-most-once'));
    const plays = await play(
      requests,
      Array.from({ length: 5 }, () => lost),
    );
    assert.equal(
      plays.map(({ sent }) => sent),
      [1, 1, 0, 0, 0],
    );
    assert.is(plays[4]?.outcome.kind, 'not-run');
  });
});

describe('a request that waits for a slot of the owner of its key', () => {
  it('waits at the new owner instead once its key has changed hands', async () => {
    const changed = new Emitter<void>();
    let owner = 'server-1';
    const asked: (string | undefined)[] = [];
    const slots = {
      acquire: (_service: string, wish: SlotRequirements, signal: AbortSignal): Promise<SlotResult> => {
        asked.push(wish.serverId);
        if (wish.serverId === 'server-2') {
          const slot = { serverId: 'server-2', coordinatorId: 'vm-1', finish: () => undefined };
          return Promise.resolve({ kind: 'granted', slot });
        }
        return new Promise((resolve) => {
          signal.addEventListener('abort', () => {
            resolve({
              kind: 'refused',
              refusal: 'overloaded',
              retryAfterMilliseconds: 0,
              coordinatorId: 'vm-1',
              basis: undefined,
            });
          });
        });
      },
    };
    const served = playOne(requestOf('idempotent', { isKeyed: true, key: 5 }), slots, {
      ownerOf: () => owner,
      onDidChangeOwners: changed.event,
    });
    await new Promise(setImmediate);
    changed.fire();
    await new Promise(setImmediate);
    assert.equal(asked, ['server-1']);
    owner = 'server-2';
    changed.fire();
    assert.is((await served).kind, 'answered');
    assert.equal(asked, ['server-1', 'server-2']);
  });
});
