// Stand-in for an upstream, by PROTOCOL.md: slots and a queue, keys under grants, entries in the store.
import { createServer } from 'node:http';

const HEARTBEAT_MILLISECONDS = 870;
const QUEUE_LENGTH = 8;
const TEST_KEY_COUNT = 65_536;

const toMilliseconds = (text) =>
  text.endsWith('ms') ? Number(text.slice(0, -2)) : Number(text.slice(0, -1)) * 1_000;

/** One life of an upstream. */
export class Upstream {
  #server;
  #store;
  #record;
  #options;
  #running = 0;
  #queue = [];
  #heartbeat;
  #seq = 0;
  #isDown = false;
  /** Grants in force: `{ from, to, fence, until }`; the newest of a key counts. */
  #grants = [];
  #fences = [];
  #runningKeys = new Map();
  #releaseWaiters = [];
  id;
  address = '';
  state = 'ready';
  born = Date.now();
  /** While true, the heartbeats do not reach the store. */
  isCutFromStore = false;
  /** Grants that arrive before this time do not count: a link has just healed, or their sender has just thawed. */
  excusedUntil = Number.NEGATIVE_INFINITY;
  /** Extra headers of all answers. */
  headers = {};

  /**
   * @param options `{ id, service, zone, slots, isKeyed, workMilliseconds }`; `workMilliseconds` may be a function of the
   * request.
   */
  constructor(store, record, options) {
    this.#store = store;
    this.#record = record;
    this.#options = { zone: 'zone-a', slots: 2, isKeyed: false, workMilliseconds: 40, ...options };
    this.id = options.id;
  }

  get isDown() {
    return this.#isDown;
  }

  async start() {
    this.#server = createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.announce();
    this.#heartbeat = setInterval(() => this.announce(), HEARTBEAT_MILLISECONDS);
  }

  announce() {
    if (this.isCutFromStore || this.#isDown) {
      return;
    }
    const { service, zone, slots } = this.#options;
    this.#seq += 1;
    this.#store.put('servers', this.id, {
      address: this.address,
      born: this.born,
      info: { service, version: 'v1', zone, slots },
      status: { state: this.state, seq: this.#seq, warmup_left: '0ms' },
    });
  }

  stop() {
    this.#isDown = true;
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Whether this upstream holds a key now. */
  holds(key, now = performance.now()) {
    if (this.#isDown) {
      return false;
    }
    return this.#grants.some(({ from, to, until }) => from <= key && key <= to && now < until);
  }

  /** Whether this upstream holds a key by a grant that counts. */
  holdsCounted(key, now = performance.now()) {
    const isHeld = ({ from, to, until, isExcused }) => !isExcused && from <= key && key <= to && now < until;
    return !this.#isDown && this.#grants.some(isHeld);
  }

  /** The fence under which a key is held; undefined if it is not. */
  fenceOf(key, now = performance.now()) {
    const grants = this.#grants.filter(({ from, to, until }) => from <= key && key <= to && now < until);
    return grants.length === 0 ? undefined : Math.max(...grants.map(({ fence }) => fence));
  }

  async #serve(message, response) {
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const target = message.headers['x-hickoryhoist-target-instance'];
    if (target !== undefined && target !== this.id) {
      this.#refuse(message, response, 421);
      return;
    }
    if (message.url === '/hickoryhoist/grant') {
      this.#grant(JSON.parse(body.toString('utf8')), response);
    } else if (message.url === '/hickoryhoist/release') {
      this.#release(JSON.parse(body.toString('utf8')), response);
    } else {
      this.#enqueue({ message, response, body, arrivedAt: performance.now() });
    }
  }

  #grant({ from, to, fence, hold_time: holdTime }, response) {
    const isFenced = this.#fences.some((seen) => seen.from <= to && from <= seen.to && seen.fence > fence);
    if (isFenced) {
      this.#record.note('grant-fenced', { upstream: this.id, from, to, fence });
      response.writeHead(409).end();
      return;
    }
    const now = performance.now();
    const isNew = !this.#grants.some(
      (known) => known.from === from && known.to === to && known.fence === fence,
    );
    const until = now + toMilliseconds(holdTime);
    this.#grants = this.#grants.filter(
      (known) => now < known.until && !(from <= known.from && known.to <= to),
    );
    this.#grants.push({ from, to, fence, until, isExcused: now < this.excusedUntil });
    this.#fences = this.#fences.filter((seen) => !(from <= seen.from && seen.to <= to));
    this.#fences.push({ from, to, fence });
    if (isNew) {
      this.#record.note('granted', { upstream: this.id, from, to, fence, holdTime });
    }
    response.writeHead(200).end();
  }

  #release({ from, to, fence }, response) {
    this.#grants = this.#grants.flatMap((known) =>
      known.to < from || to < known.from
        ? [known]
        : [
            { ...known, to: from - 1 },
            { ...known, from: to + 1 },
          ].filter((part) => part.from <= part.to),
    );
    const answer = () => {
      this.#record.note('released', { upstream: this.id, from, to, fence });
      response.writeHead(200, { 'x-hickoryhoist-handover': `h${this.id}${fence}` }).end();
    };
    const isBusy = () => [...this.#runningKeys.keys()].some((key) => from <= key && key <= to);
    if (isBusy()) {
      this.#releaseWaiters.push({ isBusy, answer });
    } else {
      answer();
    }
  }

  #enqueue(request) {
    if (this.#running < this.#options.slots) {
      this.#run(request);
    } else if (this.#queue.length < QUEUE_LENGTH) {
      this.#queue.push(request);
      request.response.once('close', () => {
        this.#queue = this.#queue.filter((other) => other !== request);
      });
    } else {
      this.#refuse(request.message, request.response, 503);
    }
  }

  #run({ message, response, body, arrivedAt }) {
    const { headers } = message;
    const id = headers['x-hickoryhoist-attempt-id'];
    if (id === undefined) {
      this.#refuse(message, response, 400);
      return;
    }
    const keyText = headers['x-hickoryhoist-shard-key'];
    const key = keyText === undefined ? undefined : Number(keyText);
    const { isKeyed, workMilliseconds, service } = this.#options;
    if (isKeyed && (key === undefined || key >= TEST_KEY_COUNT || !this.holds(key))) {
      this.#refuse(message, response, 421);
      return;
    }
    const limit = Number(headers['x-hickoryhoist-timeout-ms'] ?? 60_000) - (performance.now() - arrivedAt);
    if (limit <= 0) {
      this.#refuse(message, response, 503);
      return;
    }
    const work =
      typeof workMilliseconds === 'function' ? workMilliseconds({ message, body }) : workMilliseconds;
    this.#running += 1;
    this.#record.ran({ id, upstream: this.id, service, key, method: message.method, path: message.url });
    if (key !== undefined) {
      this.#runningKeys.set(key, (this.#runningKeys.get(key) ?? 0) + 1);
    }
    let isEnded = false;
    const end = (isAnswered) => {
      if (isEnded) {
        return;
      }
      isEnded = true;
      this.#endRun(key);
      if (isAnswered && !this.#isDown) {
        const isLate = work > limit;
        const outlasted = isKeyed && !this.holds(key) && !this.#releaseWaiters.some(({ isBusy }) => isBusy);
        const status = isLate ? 504 : outlasted ? 500 : 200;
        response
          .writeHead(status, {
            'x-hickoryhoist-attempt-id': id,
            'x-hickoryhoist-upstream-signature': `${this.id}.${id}`,
            ...this.headers,
          })
          .end(`${this.id} ${message.method} ${message.url} ${body.length}`);
      }
    };
    const timer = setTimeout(() => end(true), Math.min(work, limit));
    response.once('close', () => {
      clearTimeout(timer);
      end(false);
    });
  }

  #endRun(key) {
    this.#running -= 1;
    if (key !== undefined) {
      const left = this.#runningKeys.get(key) - 1;
      if (left === 0) {
        this.#runningKeys.delete(key);
      } else {
        this.#runningKeys.set(key, left);
      }
    }
    const done = this.#releaseWaiters.filter(({ isBusy }) => !isBusy());
    this.#releaseWaiters = this.#releaseWaiters.filter((waiter) => !done.includes(waiter));
    done.forEach(({ answer }) => answer());
    const next = this.#queue.shift();
    if (next !== undefined) {
      this.#run(next);
    }
  }

  #refuse(message, response, status) {
    const id = message.headers['x-hickoryhoist-attempt-id'];
    response
      .writeHead(status, {
        ...(id === undefined ? {} : { 'x-hickoryhoist-attempt-id': id }),
        'x-hickoryhoist-not-executed': '1',
        'x-hickoryhoist-instance-id': this.id,
        ...this.headers,
      })
      .end();
  }
}
