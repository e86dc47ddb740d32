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
import { ServerPauses } from '../serverPauses.js';
import type { ServerRecord } from '../serverRecord.js';
import type { SlotRequirements, SlotResult, SlotSource } from '../slotSource.js';

const lost: ServerCallResult = { kind: 'lost', reason: 'connection-lost' };
const refused: ServerCallResult = { kind: 'refused', refusal: 'overloaded' };
const misdirected: ServerCallResult = { kind: 'refused', refusal: 'misdirected' };
const notWritten: ServerCallResult = { kind: 'not-written' };
const answered: ServerCallResult = { kind: 'answered', status: 200, headers: {}, body: Buffer.from('ok') };

function createRequest(
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

function createServerRecord(id: string): ServerRecord {
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

interface DispatchResult {
  readonly outcome: RequestOutcome;
  readonly sentCount: number;
}

/** Dispatches requests one after the other; each attempt gets the next of the results. */
async function dispatchAll(
  requests: readonly CallerRequest[],
  results: readonly ServerCallResult[],
  overrides: Partial<RoutingView> = {},
  baseRetries = 60,
): Promise<readonly DispatchResult[]> {
  const remainingResults = [...results];
  let totalSent = 0;
  const slots = {
    acquire: (): Promise<SlotResult> =>
      Promise.resolve({
        kind: 'granted',
        slot: {
          serverId: `server-${totalSent.toString()}`,
          coordinatorId: 'vm-1',
          finish: () => undefined,
        },
      }),
  };
  const transport = {
    call: (): Promise<ServerCallResult> => {
      totalSent += 1;
      return Promise.resolve(remainingResults.shift() ?? answered);
    },
  };
  const dispatcher = createDispatcher(slots, transport, overrides, baseRetries);
  const dispatched: DispatchResult[] = [];
  for (const request of requests) {
    const before = totalSent;
    dispatched.push({ outcome: await dispatcher.dispatch(request), sentCount: totalSent - before });
  }
  return dispatched;
}

function createDispatcher(
  slots: SlotSource,
  transport: ServerTransport,
  overrides: Partial<RoutingView>,
  baseRetries: number,
): RequestDispatcher {
  const routing: RoutingView = {
    pauses: new ServerPauses(),
    serverIds: () => [],
    recordStatements: () => undefined,
    server: createServerRecord,
    ownerOf: () => undefined,
    isOwnershipInTransfer: () => false,
    hasUnconfirmedOwner: () => false,
    receivesOwnerUpdates: () => true,
    maxIdleConnections: () => 4,
    onDidChangeOwners: () => toDisposable(() => undefined),
    pause: () => Promise.resolve(),
    ...overrides,
  };
  const retryBudget = new RetryBudget(
    { retriesPerRequest: 0, baseRetriesPerWindow: baseRetries, windowMilliseconds: 10_000 },
    () => 1,
  );
  return new RequestDispatcher(
    'z',
    slots,
    transport,
    routing,
    retryBudget,
    new CrashingRequestDetector(),
    silentLogger,
  );
}

function dispatchOne(
  request: CallerRequest,
  slots: SlotSource,
  overrides: Partial<RoutingView>,
): Promise<RequestOutcome> {
  const transport = { call: () => Promise.resolve(answered) };
  return createDispatcher(slots, transport, overrides, 60).dispatch(request);
}

describe('a non-idempotent request', () => {
  for (const kind of ['at-most-once', 'upload'] as const) {
    it(`is not retried after its connection was lost (${kind})`, async () => {
      const [first] = await dispatchAll([createRequest(kind)], [lost]);
      assert.equal(first, { outcome: { kind: 'unknown', reason: 'connection-lost' }, sentCount: 1 });
    });

    it(`is retried if it was provably not run (${kind})`, async () => {
      for (const result of [refused, notWritten]) {
        const [first] = await dispatchAll([createRequest(kind)], [result]);
        assert.ok(first);
        assert.is(first.outcome.kind, 'answered');
        assert.is(first.sentCount, 2);
      }
    });
  }

  it('is reported as not run if every attempt was refused', async () => {
    const [first] = await dispatchAll(
      [createRequest('at-most-once')],
      Array.from({ length: 9 }, () => refused),
    );
    assert.is(first?.outcome.kind, 'not-run');
  });
});

describe('an idempotent request', () => {
  it('is sent to at most as many servers as its route allows', async () => {
    const [first] = await dispatchAll([createRequest('idempotent')], [lost, lost, lost]);
    assert.equal(first, { outcome: { kind: 'unknown', reason: 'connection-lost' }, sentCount: 2 });
  });

  it('is not reported as not run if an attempt may have run it', async () => {
    const [first] = await dispatchAll(
      [createRequest('idempotent')],
      [lost, refused, refused, refused, refused],
    );
    assert.is(first?.outcome.kind, 'unknown');
  });

  it('is not retried once the retry budget is exhausted', async () => {
    const dispatched = await dispatchAll(
      [createRequest('idempotent'), createRequest('idempotent', { target: '/other' })],
      [lost, answered, lost],
      {},
      4,
    );
    assert.equal(
      dispatched.map(({ sentCount }) => sentCount),
      [2, 1],
    );
  });

  it('is not sent if the caller has disconnected', async () => {
    const [first] = await dispatchAll(
      [createRequest('idempotent', { signal: AbortSignal.abort() })],
      [answered],
    );
    assert.is(first?.sentCount, 0);
  });
});

describe('a keyed request', () => {
  const keyed = { isKeyed: true, key: 7 };

  it('is not run if its key has no owner', async () => {
    const [first] = await dispatchAll([createRequest('idempotent', keyed)], []);
    assert.is(first?.outcome.kind === 'not-run' && first.outcome.reason, 'no-owner');
    assert.is(first?.sentCount, 0);
  });

  it('waits for the next owner during an ownership transfer', async () => {
    let lookups = 0;
    const [first] = await dispatchAll([createRequest('idempotent', keyed)], [], {
      isOwnershipInTransfer: () => {
        lookups += 1;
        return lookups < 4;
      },
      ownerOf: () => 'server-0',
    });
    assert.is(first?.outcome.kind, 'answered');
    assert.is(lookups, 4);
  });
});

describe('a slot of a server that this entry VM knows to be leaving', () => {
  it('is released for a slot of another server, even if the coordinator does not know yet', async () => {
    const releasedIds: string[] = [];
    const slots = {
      acquire: (_service: string, { excludedIds }: SlotRequirements): Promise<SlotResult> => {
        const serverId = ['server-1', 'server-2'].find((id) => !excludedIds.includes(id)) ?? 'server-1';
        return Promise.resolve({
          kind: 'granted',
          slot: { serverId, coordinatorId: 'vm-1', finish: () => releasedIds.push(serverId) },
        });
      },
    };
    const outcome = await dispatchOne(createRequest('at-most-once'), slots, {
      server: (id) => (id === 'server-1' ? undefined : createServerRecord(id)),
    });
    assert.is(outcome.kind === 'answered' && outcome.serverId, 'server-2');
    assert.equal(releasedIds, ['server-1', 'server-2']);
  });
});

describe('a request whose key is in an ownership transfer', () => {
  const keyed = { isKeyed: true, key: 7 };

  it('is sent once to the previous owner and then to the next owner', async () => {
    let pauses = 0;
    const [first] = await dispatchAll([createRequest('at-most-once', keyed)], [misdirected], {
      ownerOf: () => (pauses < 20 ? 'server-0' : 'server-1'),
      pause: () => {
        pauses += 1;
        return Promise.resolve();
      },
    });
    assert.is(first?.outcome.kind, 'answered');
    assert.is(first?.sentCount, 2);
  });

  for (const { name, unconfirmedAfterPauses } of [
    { name: 'an owner that may not have received its grant yet', unconfirmedAfterPauses: 0 },
    { name: 'the same server once it is the owner again', unconfirmedAfterPauses: 5 },
  ]) {
    it(`is retried at ${name}`, async () => {
      const results = [misdirected, answered];
      const calledIds: string[] = [];
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
          calledIds.push(serverId);
          return Promise.resolve(results.shift() ?? lost);
        },
      };
      const routing = {
        ownerOf: () => 'server-1',
        hasUnconfirmedOwner: () => pauses >= unconfirmedAfterPauses,
        pause: () => {
          pauses += 1;
          return Promise.resolve();
        },
      };
      const outcome = await createDispatcher(slots, transport, routing, 60).dispatch(
        createRequest('idempotent', keyed),
      );
      assert.is(outcome.kind, 'answered');
      assert.equal(calledIds, ['server-1', 'server-1']);
      assert.ok(pauses <= unconfirmedAfterPauses + 1, `${pauses.toString()} pauses`);
    });
  }

  it('is refused immediately by an entry VM that receives no owner updates', async () => {
    let pauses = 0;
    const [first] = await dispatchAll([createRequest('idempotent', keyed)], [misdirected], {
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

  it('is reported as not run after one attempt if no other owner is known in time', async () => {
    const goalAt = performance.now() + 30;
    const [first] = await dispatchAll(
      [createRequest('idempotent', { ...keyed, goalAt, deadlineAt: goalAt + 50 })],
      [misdirected, misdirected, misdirected],
      { ownerOf: () => 'server-0', pause: () => new Promise((resolve) => setTimeout(resolve, 5)) },
    );
    assert.is(first?.outcome.kind === 'not-run' && first.outcome.reason, 'no-owner');
    assert.is(first?.sentCount, 1);
  });
});

describe('a request whose caller disconnects during an ownership transfer', () => {
  it('does not request a slot', async () => {
    const caller = new AbortController();
    let slotRequests = 0;
    const slots = {
      acquire: (): Promise<SlotResult> => {
        slotRequests += 1;
        return Promise.resolve({
          kind: 'refused',
          refusal: 'overloaded',
          retryAfterMilliseconds: 0,
          coordinatorId: 'vm-1',
          basis: undefined,
        });
      },
    };
    const outcome = await dispatchOne(
      createRequest('idempotent', { isKeyed: true, key: 5, signal: caller.signal }),
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
    assert.is(slotRequests, 0);
  });
});

describe('a request that crashes servers', () => {
  it('is refused as not run after the loss of two servers', async () => {
    const requests = Array.from({ length: 5 }, () => createRequest('at-most-once'));
    const dispatched = await dispatchAll(
      requests,
      Array.from({ length: 5 }, () => lost),
    );
    assert.equal(
      dispatched.map(({ sentCount }) => sentCount),
      [1, 1, 0, 0, 0],
    );
    assert.is(dispatched[4]?.outcome.kind, 'not-run');
  });
});

describe('a request that is queued for a slot of the owner of its key', () => {
  it('requests a slot of the new owner when the owner changes', async () => {
    const ownersChanged = new Emitter<void>();
    let owner = 'server-1';
    const requestedIds: (string | undefined)[] = [];
    const slots = {
      acquire: (
        _service: string,
        requirements: SlotRequirements,
        signal: AbortSignal,
      ): Promise<SlotResult> => {
        requestedIds.push(requirements.serverId);
        if (requirements.serverId === 'server-2') {
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
    const outcome = dispatchOne(createRequest('idempotent', { isKeyed: true, key: 5 }), slots, {
      ownerOf: () => owner,
      onDidChangeOwners: ownersChanged.event,
    });
    await new Promise(setImmediate);
    ownersChanged.fire();
    await new Promise(setImmediate);
    assert.equal(requestedIds, ['server-1']);
    owner = 'server-2';
    ownersChanged.fire();
    assert.is((await outcome).kind, 'answered');
    assert.equal(requestedIds, ['server-1', 'server-2']);
  });
});
