import { deflateRawSync } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { isPlausibleMessagePack } from '../messagePackCheck.js';
import { FrequentDatagramReader } from '../frequentMessages.js';
import { encodeCompact, MAX_MESSAGES_PER_DATAGRAM } from '../peerCodec.js';
import {
  decodeAnyDatagram,
  decodeDatagram,
  encodeDatagram,
  encodeMessage,
  messageFormatFor,
  type PeerMessage,
} from '../peerMessage.js';

const SEED = 20261206;
const ADDRESS = '10.2.0.42';
const SENDER = { id: `front-ragusa-b-5@${ADDRESS}`, incarnation: '0badcafe' };
const PACKET_HEADER_BYTES = 28;

const text = fc.string({ maxLength: 20 });
const number = fc.oneof(fc.integer(), fc.nat(), fc.double({ noNaN: true, noDefaultInfinity: true }));
const requestId = fc.oneof(
  text,
  fc.tuple(fc.nat(0xffffffff), fc.integer({ min: 1, max: 2 ** 40 })).map(([incarnation, count]) => {
    return `${incarnation.toString(16).padStart(8, '0')}:${count.toString()}`;
  }),
);
const keyName = text.filter((name) => name !== '__proto__');
const numbersByName = fc.dictionary(keyName, number, { noNullPrototype: true });

/** A generator for each type; the compiler requires all of them. */
const generators: Readonly<Record<PeerMessage['type'], fc.Arbitrary<unknown>>> = {
  ask: fc.record(
    {
      id: requestId,
      service: text,
      serverId: text,
      excludedIds: fc.array(text, { maxLength: 3 }),
      availabilityZone: text,
      rank: number,
      bodyBytes: number,
      responseBytes: number,
      goalIn: number,
      deadlineIn: number,
      key: number,
    },
    {
      requiredKeys: [
        'id',
        'service',
        'excludedIds',
        'availabilityZone',
        'rank',
        'bodyBytes',
        'goalIn',
        'deadlineIn',
      ],
      noNullPrototype: true,
    },
  ),
  waiting: fc.record({ id: requestId }, { noNullPrototype: true }),
  granted: fc.record({ id: requestId, serverId: text }, { requiredKeys: ['id'], noNullPrototype: true }),
  refused: fc.record(
    {
      id: requestId,
      refusal: fc.constantFrom('no-server', 'overloaded', 'unreachable', 'not-coordinating'),
      retryAfter: number,
      basis: fc.record(
        {
          expectedWaitMilliseconds: number,
          expectedWorkMilliseconds: number,
          waiting: number,
          statedRequestsPerSecond: number,
        },
        {
          requiredKeys: ['expectedWaitMilliseconds', 'expectedWorkMilliseconds', 'waiting'],
          noNullPrototype: true,
        },
      ),
    },
    { requiredKeys: ['id', 'refusal', 'retryAfter'], noNullPrototype: true },
  ),
  finish: fc.record(
    {
      id: requestId,
      use: fc.constantFrom('answered', 'failed', 'refused', 'unreachable', 'silent', 'cancelled'),
      statements: fc.record(
        { requestsPerSecond: number, load: fc.tuple(number, number, number, number), warmup: number },
        { requiredKeys: [], noNullPrototype: true },
      ),
    },
    { requiredKeys: ['id', 'use'], noNullPrototype: true },
  ),
  heartbeat: fc.record(
    {
      id: fc.oneof(text, fc.constant(SENDER.id)),
      term: number,
      storeSilence: number,
      versions: numbersByName,
      assignments: numbersByName,
      sentAt: number,
    },
    { noNullPrototype: true },
  ),
  'reader-heartbeat': fc.record(
    {
      id: fc.oneof(text, fc.constant(SENDER.id)),
      storeReachable: number,
      storeSilence: number,
      unconfirmed: number,
      versions: numbersByName,
    },
    { noNullPrototype: true },
  ),
  'table-changes': fc.record(
    {
      table: text,
      after: number,
      version: number,
      newestChange: number,
      rows: fc.array(fc.record({ key: text, value: text, version: number }, { noNullPrototype: true }), {
        maxLength: 4,
      }),
      deletedKeys: fc.array(text, { maxLength: 4 }),
    },
    { noNullPrototype: true },
  ),
  'crash-evidence': fc.record(
    {
      lost: fc.array(fc.tuple(text, text), { maxLength: 4 }),
      answered: fc.array(text, { maxLength: 4 }),
      known: fc.array(fc.tuple(text, fc.array(text, { maxLength: 3 }), fc.nat()), { maxLength: 4 }),
    },
    { noNullPrototype: true },
  ),
  'server-leaving': fc.record({ serverId: text, serverIncarnation: number }, { noNullPrototype: true }),
  'slot-check': fc.record({ ids: fc.array(requestId, { maxLength: 4 }) }, { noNullPrototype: true }),
  'assignment-change': fc.record(
    {
      service: text,
      rowVersion: number,
      change: fc.record(
        { base: fc.nat(), removed: fc.array(fc.nat(), { maxLength: 4 }), added: text },
        { noNullPrototype: true },
      ),
    },
    { noNullPrototype: true },
  ),
  report: fc.record(
    {
      id: fc.oneof(text, fc.constant(SENDER.id)),
      incarnation: fc.oneof(text, fc.constant(SENDER.incarnation)),
      term: number,
      heartbeatSentAt: number,
      storeSilence: number,
      versions: numbersByName,
      keys: fc.dictionary(keyName, fc.array(fc.nat(60_000), { maxLength: 5 }), { noNullPrototype: true }),
      serverTimes: fc.dictionary(keyName, fc.tuple(number, number), { noNullPrototype: true }),
    },
    { noNullPrototype: true },
  ),
};

/** What a field of a message may be in datagrams that no entry VM sends. */
const field = fc.oneof(
  fc.constantFrom(null, undefined, '', -0, 1, Number.NaN, Infinity, 'answered', [], [1, 2], [['a'], 'b']),
  fc.anything({ withBigInt: false, withDate: false, withSparseArray: false, maxDepth: 2 }),
  text,
  number,
  fc.array(fc.oneof(number, text, fc.constant(Number.NaN)), { maxLength: 5 }),
  numbersByName,
  fc.constant('a'),
  fc.constant(JSON.parse('{"__proto__":1}') as unknown),
);

const message = fc.oneof(
  ...Object.entries(generators).map(([type, generator]) =>
    generator.map((fields) => ({ ...(fields as object), type }) as PeerMessage),
  ),
);

function datagramOf(...messages: readonly PeerMessage[]): Uint8Array {
  return encodeDatagram(
    SENDER,
    ADDRESS,
    messages.map((one) => encodeMessage(one, SENDER)),
  );
}

/** Bytes on the link for the messages of one datagram. */
function packetBytes(...messages: readonly PeerMessage[]): number {
  return PACKET_HEADER_BYTES + datagramOf(...messages).length;
}

describe('a datagram between entry VMs', () => {
  it('has the messages that were sent, with all their fields', () => {
    fc.assert(
      fc.property(fc.array(message, { maxLength: 15 }), (messages) => {
        const datagram = decodeDatagram(datagramOf(...messages), ADDRESS);
        assert.equal(datagram, { from: SENDER.id, incarnation: SENDER.incarnation, messages });
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('has the sender of a process whose identifiers have another form', () => {
    fc.assert(
      fc.property(text, text, message, (id, incarnation, sent) => {
        fc.pre(!id.endsWith('@'));
        const encoded = encodeMessage(sent, { id, incarnation });
        const datagram = decodeDatagram(encodeDatagram({ id, incarnation }, ADDRESS, [encoded]), ADDRESS);
        assert.equal(datagram, { from: id, incarnation, messages: [sent] });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('is ignored when it is truncated or has more bytes', () => {
    fc.assert(
      fc.property(fc.array(message, { minLength: 1, maxLength: 4 }), fc.nat(), (messages, length) => {
        const bytes = datagramOf(...messages);
        assert.is(decodeDatagram(bytes.subarray(0, length % bytes.length), ADDRESS), undefined);
        assert.is(decodeDatagram(Buffer.concat([bytes, Buffer.of(0)]), ADDRESS), undefined);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('never throws, and has only checked messages, whatever byte is changed', () => {
    fc.assert(
      fc.property(message, fc.nat(), fc.nat(255), (sent, position, value) => {
        const bytes = Buffer.from(datagramOf(sent));
        bytes[position % bytes.length] = value;
        const datagram = decodeDatagram(bytes, ADDRESS);
        assert.ok(datagram === undefined || datagram.messages.every(({ type }) => type in generators));
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('is read in the short way exactly as the schema has it, whatever its bytes', () => {
    /** The values of a message with one of them replaced, added or removed, some deep inside. */
    const replaced = fc
      .tuple(message, fc.nat(), fc.nat(4), field, fc.boolean())
      .map(([sent, position, count, value, isNested]) => {
        const values = decode(encodeCompact(sent, SENDER));
        if (Array.isArray(values)) {
          const nested = (values as unknown[]).filter((item) => Array.isArray(item)) as unknown[][];
          const target = (isNested ? nested[position % nested.length] : undefined) ?? (values as unknown[]);
          target.splice(position % (target.length + 1), count, value);
        }
        return values;
      });
    const sender = fc.oneof(
      fc.constant(['vm@', 5]),
      fc.tuple(fc.oneof(fc.constant('vm@'), field), fc.oneof(fc.nat(), field)),
    );
    const encoded = fc
      .tuple(fc.constantFrom(2, 2, 2, 3), sender, fc.array(replaced, { maxLength: 2 }))
      .map(([format, [from, incarnation], messages]) => {
        try {
          return Buffer.from(encode([format, from, incarnation, messages]));
        } catch {
          // A value that has no form.
          return Buffer.of();
        }
      });
    const edited = fc
      .tuple(fc.array(message, { minLength: 1, maxLength: 3 }), fc.nat(), fc.nat(2), fc.uint8Array())
      .map(([messages, position, removed, inserted]) => {
        const bytes = datagramOf(...messages);
        const at = position % bytes.length;
        return Buffer.concat([bytes.subarray(0, at), inserted, bytes.subarray(at + removed)]);
      });
    const intact = fc.array(message, { maxLength: 3 }).map((messages) => datagramOf(...messages));
    fc.assert(
      fc.property(fc.oneof({ arbitrary: encoded, weight: 4 }, edited, intact), (bytes) => {
        assert.equal(decodeDatagram(bytes, ADDRESS), decodeAnyDatagram(bytes, ADDRESS));
      }),
      { seed: SEED, numRuns: 20_000 },
    );
  });

  it('is read and written in the short way for the slots of requests and heartbeats', () => {
    const id = '0badcafe:123456';
    const heartbeat = { id: SENDER.id, storeSilence: 0, versions: { servers: 70_000 } };
    const messages: readonly PeerMessage[] = [
      {
        ...{ type: 'ask', id, service: 'catalogue', excludedIds: ['i-1'], availabilityZone: 'zone-2' },
        ...{ rank: 2, bodyBytes: 1_200, responseBytes: 5_000, goalIn: -5, deadlineIn: 3_995, key: 7 },
      },
      { type: 'waiting', id },
      { type: 'granted', id, serverId: 'i-a11a3682ad' },
      { type: 'refused', id, refusal: 'overloaded', retryAfter: 800 },
      { type: 'finish', id, use: 'answered', statements: { load: [4, 2, 6, 1.25] } },
      { ...heartbeat, type: 'heartbeat', term: 3, assignments: {}, sentAt: 70_000.5 },
      { ...heartbeat, type: 'reader-heartbeat', storeReachable: 60_000, unconfirmed: 120 },
    ];
    const datagram = new FrequentDatagramReader(2).read(datagramOf(...messages), ADDRESS);
    assert.equal(datagram, { from: SENDER.id, incarnation: SENDER.incarnation, messages });
  });

  it('has the same bytes whichever way it is written, also if it is malformed', () => {
    const result = (encodeSent: () => Uint8Array): unknown => {
      try {
        return Buffer.from(encodeSent());
      } catch {
        return 'thrown';
      }
    };
    const malformed = fc.tuple(message, fc.nat(), field).map(([sent, position, value]) => {
      const names = Object.keys(sent).filter((name) => name !== 'type');
      return { ...sent, [names[position % names.length] ?? '']: value };
    });
    fc.assert(
      fc.property(fc.oneof(message, malformed), (sent) => {
        assert.equal(
          result(() => encodeMessage(sent, SENDER).bytes),
          result(() => encodeCompact(sent, SENDER)),
        );
      }),
      { seed: SEED, numRuns: 5_000 },
    );
  });

  it('has the rows of a table in a third of their size', () => {
    const rows = Array.from({ length: 12 }, (_, index) => ({
      key: `servers/i-${(index * 7_919).toString(16)}`,
      value: JSON.stringify({
        service: 'lot-register',
        zone: 'ragusa-b',
        address: `10.1.64.${index.toString()}`,
      }),
      version: 1_000 + index,
    }));
    const sent: PeerMessage = {
      type: 'table-changes',
      table: 'servers',
      after: 999,
      version: 1_011,
      newestChange: 1_011,
      rows,
      deletedKeys: [],
    };
    const bytes = datagramOf(sent);
    assert.equal(decodeDatagram(bytes, ADDRESS)?.messages, [sent]);
    assert.ok(bytes.length < JSON.stringify(sent).length / 3, bytes.length.toString());
  });

  it('is ignored when a message is damaged, or too large once it is decompressed', () => {
    const head = Buffer.from(encodeDatagram(SENDER, ADDRESS, []));
    for (const content of [deflateRawSync(Buffer.alloc(50_000_000)), Buffer.from('no compressed bytes')]) {
      const bytes = Buffer.concat([
        head.subarray(0, -1),
        Buffer.of(0x91, 0xc5, content.length >> 8, content.length & 0xff),
        content,
      ]);
      assert.is(decodeDatagram(bytes, ADDRESS), undefined);
    }
  });

  it('is ignored when it declares more elements than it holds', () => {
    const nested = Buffer.concat(Array.from({ length: 5 }, () => Buffer.of(0xdd, 0, 0x40, 0, 0)));
    assert.is(isPlausibleMessagePack(nested), false);
    assert.is(decodeDatagram(nested, ADDRESS), undefined);
    const content = deflateRawSync(nested);
    const head = Buffer.from(encodeDatagram(SENDER, ADDRESS, []));
    const bytes = Buffer.concat([head.subarray(0, -1), Buffer.of(0x91, 0xc4, content.length), content]);
    assert.is(decodeDatagram(bytes, ADDRESS), undefined);
  });

  it('is ignored when it has more messages than any sender puts into one', () => {
    const waiting: PeerMessage = { type: 'waiting', id: 'x' };
    const full = Array.from({ length: MAX_MESSAGES_PER_DATAGRAM }, () => waiting);
    assert.is(decodeDatagram(datagramOf(...full), ADDRESS)?.messages.length, MAX_MESSAGES_PER_DATAGRAM);
    assert.is(decodeDatagram(datagramOf(...full, waiting), ADDRESS), undefined);
  });

  it('in JSON has the messages that were sent, with all their fields', () => {
    fc.assert(
      fc.property(fc.array(message, { minLength: 1, maxLength: 4 }), (messages) => {
        const encoded = messages.map((one) => encodeMessage(one, SENDER, 'json'));
        const datagram = decodeDatagram(encodeDatagram(SENDER, ADDRESS, encoded, 'json'), ADDRESS);
        assert.equal(datagram, {
          from: SENDER.id,
          incarnation: SENDER.incarnation,
          messages: JSON.parse(JSON.stringify(messages)) as unknown,
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('in JSON is ignored when it is truncated, or has a message of an unknown type', () => {
    const bytes = encodeDatagram(
      SENDER,
      ADDRESS,
      [encodeMessage({ type: 'waiting', id: 'x' }, SENDER, 'json')],
      'json',
    );
    for (let length = 0; length < bytes.length; length += 1) {
      assert.is(decodeDatagram(bytes.subarray(0, length), ADDRESS), undefined);
    }
    const unknown = JSON.stringify({ from: 'a', incarnation: 'b', messages: [{ type: 'other', id: 'x' }] });
    assert.is(decodeDatagram(Buffer.from(unknown), ADDRESS), undefined);
  });

  it('is compact where links are scarce', () => {
    assert.is(messageFormatFor(10), 'compact');
    assert.is(messageFormatFor(750), 'json');
  });

  // The sheet with the most expensive bytes has a lower bound of 2,650 bytes a request between zones. Messages about a
  // slot may add a tenth of that. With three zones, two thirds of the requests have their coordinator in another one.
  it('takes few bytes for the slot of one request', () => {
    const id = '0badcafe:123456';
    const serverId = 'i-a11a3682ad';
    const ask = packetBytes({
      type: 'ask',
      id,
      service: 'lot-register',
      serverId,
      excludedIds: [],
      availabilityZone: '',
      rank: 2,
      bodyBytes: 1_200,
      goalIn: 795,
      deadlineIn: 3_995,
      key: 54_536,
    });
    const granted = packetBytes({ type: 'granted', id });
    const finish = packetBytes({ type: 'finish', id, use: 'answered', statements: {} });
    assert.ok(ask + granted + 2 * finish <= (2_650 * 0.1) / (2 / 3), `${ask.toString()} for the request`);
  });
});
