import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { DatagramQueue, type QueuedDatagram } from '../datagramQueue.js';
import type { EncodedMessage } from '../peerMessage.js';

function message(name: string, size = name.length): EncodedMessage {
  return { type: 'finish', bytes: Buffer.from(name.padEnd(size)) };
}

function names(datagrams: readonly QueuedDatagram[]): readonly string[] {
  return datagrams.map(
    ({ ipAddress, messages }) =>
      `${ipAddress}: ${messages.map(({ bytes }) => Buffer.from(bytes).toString().trim()).join(' ')}`,
  );
}

describe('messages to other entry VMs', () => {
  it('share a datagram for each destination, in their order', () => {
    const queue = new DatagramQueue();
    queue.add('a', message('1'));
    queue.add('b', message('2'));
    queue.add('a', message('3'));
    assert.equal(names(queue.take(0)), ['a: 1 3', 'b: 2']);
    assert.ok(queue.isEmpty);
  });

  it('of many bytes or a large number go in several datagrams, in their order', () => {
    const queue = new DatagramQueue();
    queue.add('a', message('1', 800));
    queue.add('a', message('2', 800));
    queue.add('a', message('3', 5_000));
    Array.from({ length: 17 }, (_, index) => `${index.toString()}x`).forEach((name) => {
      queue.add('b', message(name));
    });
    const datagrams = queue.take(0);
    assert.equal(names(datagrams.slice(0, 3)), ['a: 1', 'a: 2', 'a: 3']);
    assert.equal(
      datagrams.slice(3).map(({ messages }) => messages.length),
      [15, 2],
    );
  });

  describe('with a duplicate', () => {
    it('survive the loss of any one datagram', () => {
      for (const lost of [0, 1, 2]) {
        const queue = new DatagramQueue();
        const sent: string[] = [];
        queue.addWithDuplicate('a', message('first'), 0);
        sent.push(...names(queue.take(0)));
        queue.add('a', message('other'));
        sent.push(...names(queue.take(50)));
        sent.push(...names(queue.takeDuplicates(90)));
        sent.splice(lost, 1);
        assert.ok(
          sent.join(' ').includes('first'),
          `without datagram ${lost.toString()}: ${sent.join('; ')}`,
        );
      }
    });

    it('are sent twice, the second time within 100 ms', () => {
      fc.assert(
        fc.property(
          fc.array(fc.record({ at: fc.nat(1_000), to: fc.constantFrom('a', 'b'), isTwice: fc.boolean() })),
          (sends) => {
            const queue = new DatagramQueue();
            const times = new Map<string, number[]>();
            const record = (datagrams: readonly QueuedDatagram[], now: number): void => {
              for (const { bytes } of datagrams.flatMap(({ messages }) => messages)) {
                const name = Buffer.from(bytes).toString();
                times.set(name, [...(times.get(name) ?? []), now]);
              }
            };
            for (let now = 0; now <= 1_200; now += 1) {
              for (const [index, { to, isTwice }] of [...sends.entries()].filter(
                ([, { at }]) => at === now,
              )) {
                if (isTwice) {
                  queue.addWithDuplicate(to, message(`twice-${index.toString()}`), now);
                } else {
                  queue.add(to, message(`once-${index.toString()}`));
                }
              }
              record(queue.take(now), now);
              if (now % 90 === 0) {
                record(queue.takeDuplicates(now), now);
              }
            }
            for (const [index, { at, isTwice }] of sends.entries()) {
              const [first, second, ...more] =
                times.get(`${isTwice ? 'twice' : 'once'}-${index.toString()}`) ?? [];
              assert.is(first, at);
              assert.equal(more, []);
              assert.ok(isTwice ? second !== undefined && second <= at + 100 : second === undefined);
            }
          },
        ),
        { seed: 1, numRuns: 100 },
      );
    });

    it('take the duplicate along with the next datagram, but not with one of the same moment', () => {
      const queue = new DatagramQueue();
      queue.addWithDuplicate('a', message('1'), 0);
      assert.equal(names(queue.take(0)), ['a: 1']);
      queue.add('a', message('2'));
      assert.equal(names(queue.take(5)), ['a: 2']);
      queue.add('b', message('3'));
      assert.equal(names(queue.take(20)), ['b: 3']);
      queue.add('a', message('4'));
      assert.equal(names(queue.take(20)), ['a: 4 1']);
      assert.equal(names(queue.takeDuplicates(200)), []);
    });

    it('send the duplicate alone when nothing else goes', () => {
      const queue = new DatagramQueue();
      queue.addWithDuplicate('a', message('1'), 0);
      queue.take(0);
      assert.equal(names(queue.takeDuplicates(90)), ['a: 1']);
      queue.addWithDuplicate('a', message('2'), 175);
      queue.take(175);
      assert.equal(names(queue.takeDuplicates(180)), []);
      assert.equal(names(queue.takeDuplicates(270)), ['a: 2']);
      assert.equal(names(queue.takeDuplicates(360)), []);
    });
  });
});
