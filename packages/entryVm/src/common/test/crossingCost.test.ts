import * as assert from 'uvu/assert';
import { ResponseSizes } from '@hickoryhoist/dispatch/common/responseSizes.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CrossingCost } from '../crossingCost.js';
import type { EntryVmRecord } from '../entryVmRegistry.js';

type Request = Parameters<CrossingCost['responseBytes']>[0];

function entryVms(...links: readonly number[]): readonly EntryVmRecord[] {
  return links.map((linkMegabitsPerSecond, index) => ({
    id: `vm-${index.toString()}`,
    ipAddress: '',
    incarnation: '',
    availabilityZone: '',
    processorCores: 1,
    linkMegabitsPerSecond,
  }));
}

function request(overrides: Partial<Request> = {}): Request {
  const route = { name: 'read' } as Request['route'];
  return { isKeyed: false, route, body: Buffer.alloc(0), ...overrides };
}

function sizesOf(bytes: number): ResponseSizes {
  const sizes = new ResponseSizes();
  sizes.record('read', bytes);
  return sizes;
}

describe('the size of a response', () => {
  it('counts when most links are slow, also on an entry VM with a fast one', () => {
    const cost = new CrossingCost(sizesOf(5_000), () => entryVms(200, 10, 10));
    assert.is(cost.responseBytes(request()), 5_000);
  });

  it('does not count when most links are fast, for owners of keys, or before the first response', () => {
    assert.is(
      new CrossingCost(sizesOf(5_000), () => entryVms(750, 2_500, 10)).responseBytes(request()),
      undefined,
    );
    const slow = entryVms(10, 10, 10);
    assert.is(
      new CrossingCost(sizesOf(5_000), () => slow).responseBytes(request({ isKeyed: true })),
      undefined,
    );
    assert.is(new CrossingCost(new ResponseSizes(), () => slow).responseBytes(request()), undefined);
    assert.is(new CrossingCost(sizesOf(500), () => slow).responseBytes(request()), undefined);
  });

  it('follows the entry VMs that join', () => {
    let current = entryVms(750);
    const cost = new CrossingCost(sizesOf(5_000), () => current);
    assert.is(cost.responseBytes(request()), undefined);
    current = entryVms(750, 10, 10);
    assert.is(cost.responseBytes(request()), 5_000);
  });

  it('is the mean of the last responses, and of no more routes than are remembered', () => {
    const sizes = sizesOf(1_000);
    for (let index = 0; index < 100; index += 1) {
      sizes.record('read', index % 2 === 0 ? 4_000 : 6_000);
    }
    assert.ok(Math.abs(sizes.expectedBytes('read') - 5_000) < 500);
    for (let index = 0; index < 1_000; index += 1) {
      sizes.record(`route-${index.toString()}`, 1);
    }
    assert.is(sizes.expectedBytes('read'), 0);
    assert.is(sizes.expectedBytes('route-999'), 1);
  });
});
