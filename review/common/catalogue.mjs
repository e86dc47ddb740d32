import { Machines } from './machines.mjs';
import { PlatformStore } from './platformStore.mjs';
import { waitFor } from './record.mjs';
import { Upstream } from './upstream.mjs';

export const LAST_KEY = 65_535;
const HOST = 'library.example';

/** A small deployment with one service whose keys are divided among its upstreams. */
export class Catalogue {
  store = new PlatformStore();
  upstreams = [];
  machines = new Machines();
  #record;
  #cleanups;

  constructor(record, cleanups) {
    this.#record = record;
    this.#cleanups = cleanups;
  }

  async start({ machines, upstreams }) {
    this.#cleanups.push(() => this.store.close());
    const storeAddress = await this.store.listen();
    this.store.put('op', 'config', desiredState());
    for (let index = 1; index <= upstreams; index += 1) {
      await this.startUpstream(`i-catalogue-${index}`);
    }
    this.#cleanups.push(() => this.machines.stop());
    await this.machines.start(machines, storeAddress, this.#record);
    await waitFor('all keys are held', () => this.isAllHeld(this.upstreams));
  }

  async startUpstream(id) {
    const upstream = new Upstream({
      id,
      service: 'catalogue',
      store: this.store,
      record: this.#record,
      isKeyed: true,
    });
    await upstream.start();
    this.#cleanups.push(() => upstream.isUp && upstream.crash());
    this.upstreams.push(upstream);
    return upstream;
  }

  ownerOf(key) {
    return this.upstreams.find((one) => one.holdsKey(key));
  }

  isAllHeld(upstreams) {
    for (let key = 0; key <= LAST_KEY; key += 64) {
      if (!upstreams.some((one) => one.holdsKey(key))) {
        return false;
      }
    }
    return true;
  }

  /** A light load of look-ups with keys of all upstreams, at all machines in turn. */
  startTraffic(intervalMilliseconds, workMilliseconds) {
    const record = this.#record;
    const { list } = this.machines;
    let count = 0;
    const pending = new Set();
    const send = async (key, work) => {
      count += 1;
      const id = `look-up-${count}`;
      const machine = list[count % list.length];
      record.write('client sends', id, `key ${key} to`, machine.name);
      const { status, text } = await this.machines.send(machine, {
        path: `/catalogue/${id}`,
        host: HOST,
        timeout: 2_500,
        headers: {
          'x-hickoryhoist-attempt-id': id,
          'x-hickoryhoist-timeout-ms': '2500',
          'x-hickoryhoist-shard-key': String(key),
          'x-test-work-ms': String(work),
        },
      });
      record.write('client gets', id, status, text.trim());
    };
    const track = (promise) => {
      pending.add(promise);
      void promise.finally(() => pending.delete(promise));
      return promise;
    };
    const timer = setInterval(
      () => void track(send((count * 7_919) % (LAST_KEY + 1), workMilliseconds)),
      intervalMilliseconds,
    );
    const traffic = {
      send: (key, work) => track(send(key, work)),
      stop: async () => {
        clearInterval(timer);
        await Promise.all(pending);
      },
    };
    this.#cleanups.push(() => traffic.stop());
    return traffic;
  }
}

function desiredState() {
  return {
    version: 'r1',
    services: [{ name: 'catalogue', health_path: '/healthz', max_conns: 120, sharded: true }],
    limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout: '3s', idle_timeout: '15s' },
    vhosts: [
      {
        host: HOST,
        paths: [
          {
            name: 'catalogue',
            prefix: '/catalogue/',
            kind: 'safe',
            timeout: '1200ms',
            latency_goal: '600ms',
            priority: 1,
            attempts: 2,
            service: 'catalogue',
          },
        ],
      },
    ],
  };
}

/** Spans of over half a second in which two upstreams that are up hold the same key. */
export function commonHolds(upstreams, maxMilliseconds = 500) {
  const edges = [
    ...new Set(upstreams.flatMap(({ holds }) => holds.flatMap(({ from, to }) => [from, to]))),
  ].sort((left, right) => left - right);
  const found = new Map();
  for (const key of edges) {
    const held = upstreams.map((one) => ({
      id: one.id,
      spans: unionOf(one.holds.filter(({ from, to }) => from <= key && key <= to)),
    }));
    for (const [index, left] of held.entries()) {
      for (const right of held.slice(index + 1)) {
        for (const { start, end } of intersections(left.spans, right.spans)) {
          if (end - start > maxMilliseconds) {
            const name = `${left.id} and ${right.id}, ${(start / 1000).toFixed(3)} s to ${(end / 1000).toFixed(3)} s`;
            const known = found.get(name) ?? { first: key, last: key };
            found.set(name, { first: Math.min(known.first, key), last: Math.max(known.last, key) });
          }
        }
      }
    }
  }
  return [...found].map(
    ([name, { first, last }]) => `OWNER broken: both hold keys from ${first} to ${last}: ${name}`,
  );
}

function unionOf(holds) {
  const spans = [];
  for (const { start, end } of [...holds].sort((left, right) => left.start - right.start)) {
    const last = spans.at(-1);
    if (last !== undefined && start <= last.end) {
      last.end = Math.max(last.end, end);
    } else {
      spans.push({ start, end });
    }
  }
  return spans;
}

function intersections(left, right) {
  return left.flatMap((one) =>
    right.flatMap((other) => {
      const start = Math.max(one.start, other.start);
      const end = Math.min(one.end, other.end);
      return start < end ? [{ start, end }] : [];
    }),
  );
}

/**
 * Grants of a key on which another upstream that is up is still at work, before that one's last grant would have run
 * out.
 */
export function grantsWhileAtWork(upstreams) {
  const broken = [];
  for (const taker of upstreams) {
    for (const hold of taker.holds) {
      for (const holder of upstreams.filter((other) => other !== taker)) {
        for (const run of holder.runs) {
          const isInRange = hold.from <= run.key && run.key <= hold.to;
          const isAtWork =
            run.at < hold.start && hold.start < run.until && run.until <= (holder.downAt ?? Infinity);
          const wouldHold = holder.grants.some(
            ({ from, to, at, end }) =>
              from <= run.key && run.key <= to && at < hold.start && hold.start < end,
          );
          if (isInRange && isAtWork && wouldHold) {
            broken.push(
              `OWNER broken: ${taker.id} is given keys ${hold.from} to ${hold.to} at ${(hold.start / 1000).toFixed(3)} s, ` +
                `while ${holder.id} is at work on ${run.id} (key ${run.key}) until ${(run.until / 1000).toFixed(3)} s`,
            );
          }
        }
      }
    }
  }
  return broken;
}
