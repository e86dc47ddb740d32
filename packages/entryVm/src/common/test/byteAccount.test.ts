import * as assert from 'uvu/assert';
import type { ServerCall, ServerCallResult } from '@hickoryhoist/dispatch/common/serverCall.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { ByteAccount } from '../byteAccount.js';
import { CountedServerTransport } from '../countedServerTransport.js';

const BODY_BYTES = 10_000;

function call(serverId: string): ServerCall {
  return {
    requestId: 'r',
    serverId,
    address: '127.0.0.1:1',
    host: 'host',
    method: 'GET',
    target: '/',
    headers: {},
    body: Buffer.alloc(BODY_BYTES),
    isIdempotent: true,
    timeoutMilliseconds: 1_000,
    maxIdleConnections: 1,
    signal: new AbortController().signal,
  };
}

describe('bytes by kind and zone', () => {
  it('are sums of what was counted', () => {
    const account = new ByteAccount('zone-1');
    account.add('finish', 'zone-1', 10);
    account.add('finish', 'zone-2', 20);
    account.add('finish', 'zone-3', 5);
    account.add('ask', undefined, 7);
    assert.equal(account.totals(), [
      { kind: 'finish', relation: 'same-zone', bytes: 10 },
      { kind: 'finish', relation: 'other-zone', bytes: 25 },
      { kind: 'ask', relation: 'unknown', bytes: 7 },
    ]);
    assert.equal(account.otherZoneTotals(), { finish: 25 });
  });

  it('count a request that was written, and the response if there is one', async () => {
    const results: readonly ServerCallResult[] = [
      { kind: 'answered', status: 200, headers: {}, body: Buffer.alloc(BODY_BYTES) },
      { kind: 'lost', reason: 'deadline' },
      { kind: 'not-written' },
    ];
    for (const [index, result] of results.entries()) {
      const account = new ByteAccount('zone-1');
      const transport = new CountedServerTransport(
        { call: () => Promise.resolve(result) },
        account,
        (serverId) => (serverId === 'far' ? { availabilityZone: 'zone-2', isKeyed: true } : undefined),
      );
      assert.is(await transport.call(call('far')), result);
      const counted = account.totals().map(({ kind, relation, bytes }) => {
        assert.ok(bytes > BODY_BYTES && bytes < BODY_BYTES + 1_000, bytes.toString());
        return `${kind} ${relation}`;
      });
      const expected = ['keyed-request other-zone', 'keyed-response other-zone'].slice(0, 2 - index);
      assert.equal(counted, expected);
    }
  });

  it('count each value of a header with its name, and no header without a value', async () => {
    const requestBytes = async (headers: ServerCall['headers']): Promise<number> => {
      const account = new ByteAccount('zone-1');
      const result: ServerCallResult = { kind: 'lost', reason: 'deadline' };
      const transport = new CountedServerTransport(
        { call: () => Promise.resolve(result) },
        account,
        () => undefined,
      );
      await transport.call({ ...call('near'), headers });
      return account.totals()[0]?.bytes ?? 0;
    };
    const without = await requestBytes({});
    assert.is(await requestBytes({ accept: undefined }), without);
    assert.is(await requestBytes({ accept: 'text' }), without + 14);
    assert.is(await requestBytes({ accept: ['text', 'json'], te: '' }), without + 28 + 6);
  });
});
