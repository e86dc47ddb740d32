import { createServer } from 'node:http';

const HEARTBEAT_MILLISECONDS = 870;

/**
 * Stand-in for an upstream, as PROTOCOL.md describes it: slots and a short queue, registration in the store, and keys
 * that are granted and released. It keeps what it held and ran, for the check of a rule.
 */
export class Upstream {
  #store;
  #record;
  #server;
  #sockets = new Set();
  #running = new Set();
  #queue = [];
  #heartbeat;
  #seq = 0;
  #state = 'ready';
  #born = Date.now();
  #port = 0;
  #releaseWaiters = [];
  /** Highest fence by keys, as a list of ranges. */
  #fences = [];
  /** Every span of time for which keys were held: first and last key, fence, start and end in milliseconds. */
  holds = [];
  /** Every grant that was taken, with the time at which it would run out. */
  grants = [];
  /** Requests that began to run: id, target, key, start and end. */
  runs = [];
  /** When it last wrote its entry. */
  reportedAt = 0;
  /** When it crashed or left; undefined while it is up. */
  downAt;
  isUp = false;
  /** Called with each request that begins to run. */
  onRun = () => undefined;
  /** Called with each grant and release that arrives, before it is carried out. */
  onOrder = () => undefined;
  /** Number of answers sent. */
  answers = 0;

  constructor({ id, service, store, record, isKeyed = false, slots = 2, queue = 8, workMilliseconds = 30 }) {
    this.id = id;
    this.service = service;
    this.#store = store;
    this.#record = record;
    this.isKeyed = isKeyed;
    this.slots = slots;
    this.queueLength = queue;
    this.workMilliseconds = workMilliseconds;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  async start(port = 0) {
    await this.#listen(port);
    this.isUp = true;
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MILLISECONDS);
    this.#record.write('upstream', this.id, 'starts at', this.address);
  }

  /** Reports in the store that it leaves, and goes on serving. */
  drain() {
    this.#state = 'draining';
    this.#register();
    this.#record.write('upstream', this.id, 'is draining');
  }

  /** Ends after it has drained: its entry is removed. */
  async end() {
    clearInterval(this.#heartbeat);
    this.#store.delete('servers', this.id);
    await this.crash();
    this.#record.write('upstream', this.id, 'has left');
  }

  /** Ends without a word. Its entry stays until somebody removes it. */
  async crash() {
    this.isUp = false;
    clearInterval(this.#heartbeat);
    const now = this.#record.now();
    this.downAt = now;
    for (const hold of this.holds) {
      hold.end = Math.min(hold.end, now);
    }
    for (const request of this.#running) {
      clearTimeout(request.timer);
    }
    this.#running.clear();
    this.#queue.length = 0;
    await this.cutOff();
  }

  /** From here on it is unreachable: open connections are reset, new ones are refused. It stays up. */
  async cutOff() {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
    await closed;
  }

  /** It can be reached again at its address. */
  async heal() {
    await this.#listen(this.#port);
  }

  async #listen(port) {
    this.#server = createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    this.#port = this.#server.address().port;
  }

  /** Its entry in the store. */
  entry() {
    return {
      address: this.address,
      born: this.#born,
      info: { service: this.service, zone: 'zone-a', version: 'v1', slots: this.slots },
      status: { state: this.#state, seq: this.#seq, warmup_left: '0ms' },
    };
  }

  #register() {
    this.#seq += 1;
    this.reportedAt = this.#record.now();
    this.#store.put('servers', this.id, this.entry());
  }

  /** Ranges that are held now. */
  heldRanges() {
    const now = this.#record.now();
    return this.isUp ? this.holds.filter(({ start, end }) => start <= now && now < end) : [];
  }

  /** Whether it has been asked to release keys on which it is still at work. */
  get hasReleaseInProgress() {
    return this.#releaseWaiters.length > 0;
  }

  holdsKey(key) {
    return this.heldRanges().some(({ from, to }) => from <= key && key <= to);
  }

  async #serve(message, response) {
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const { headers } = message;
    const target = headers['x-hickoryhoist-target-instance'];
    const id = headers['x-hickoryhoist-attempt-id'];
    const own = id === undefined ? {} : { 'x-hickoryhoist-attempt-id': id };
    this.answers += 1;
    if (message.url.startsWith('/hickoryhoist/')) {
      this.onOrder(message.url, message.socket);
    }
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { ...own, 'x-hickoryhoist-not-executed': '1' }).end();
      return;
    }
    switch (message.url) {
      case '/hickoryhoist/grant':
        response.writeHead(this.#grant(JSON.parse(body.toString('utf8')))).end();
        return;
      case '/hickoryhoist/release':
        await this.#release(JSON.parse(body.toString('utf8')));
        response.writeHead(200, { 'x-hickoryhoist-handover': 'a1b2c3d4e5f60718' }).end();
        return;
      default:
        this.#accept({ id, message, body, response, key: Number(headers['x-hickoryhoist-shard-key']) });
    }
  }

  #grant({ from, to, fence, hold_time: holdTime }) {
    const now = this.#record.now();
    const isFenced = this.#fences.some((seen) => seen.from <= to && from <= seen.to && seen.fence > fence);
    const what = `keys ${from} to ${to} fence ${fence}`;
    if (isFenced) {
      this.#record.write('upstream', this.id, 'refuses a grant:', what);
      return 409;
    }
    this.#fences = this.#fences.filter((seen) => !(from <= seen.from && seen.to <= to));
    this.#fences.push({ from, to, fence });
    const end = now + Number.parseInt(holdTime, 10);
    this.grants.push({ from, to, fence, at: now, end });
    const known = this.holds.find(
      (hold) => hold.from === from && hold.to === to && hold.fence === fence && hold.end > now,
    );
    if (known === undefined) {
      this.holds.push({ from, to, fence, start: now, end, renewedAt: now });
    } else {
      known.end = end;
      known.renewedAt = now;
    }
    this.#record.write('upstream', this.id, known === undefined ? 'takes' : 'renews', what, 'for', holdTime);
    return 200;
  }

  async #release({ from, to, fence }) {
    const now = this.#record.now();
    this.#record.write('upstream', this.id, `is asked to release keys ${from} to ${to} fence ${fence}`);
    this.holds = this.holds.flatMap((hold) => {
      if (hold.end <= now || hold.to < from || to < hold.from) {
        return [hold];
      }
      const rest = [
        { ...hold, to: from - 1 },
        { ...hold, from: to + 1 },
      ].filter((part) => part.from <= part.to);
      const ended = { ...hold, from: Math.max(hold.from, from), to: Math.min(hold.to, to), end: now };
      return [ended, ...rest];
    });
    const isBusy = () => [...this.#running].some(({ key }) => from <= key && key <= to);
    while (isBusy()) {
      await new Promise((resolve) => this.#releaseWaiters.push(resolve));
    }
    this.#record.write('upstream', this.id, `has released keys ${from} to ${to}`);
  }

  #accept(request) {
    const { response, id } = request;
    request.workMilliseconds = Number(request.message.headers['x-test-work-ms'] ?? this.workMilliseconds);
    response.once('close', () => {
      const index = this.#queue.indexOf(request);
      if (index >= 0) {
        this.#queue.splice(index, 1);
      }
    });
    if (this.#running.size < this.slots) {
      this.#run(request);
    } else if (this.#queue.length < this.queueLength) {
      this.#queue.push(request);
    } else {
      response.writeHead(503, { 'x-hickoryhoist-attempt-id': id, 'x-hickoryhoist-not-executed': '1' }).end();
    }
  }

  #run(request) {
    const { id, message, body, response, key } = request;
    if (this.isKeyed && !this.holdsKey(key)) {
      response.writeHead(421, { 'x-hickoryhoist-attempt-id': id, 'x-hickoryhoist-not-executed': '1' }).end();
      return;
    }
    this.#running.add(request);
    const run = {
      id,
      method: message.method,
      target: message.url,
      key,
      body: body.toString('utf8'),
      at: this.#record.now(),
      until: this.#record.now() + request.workMilliseconds,
    };
    this.runs.push(run);
    this.#record.write('upstream', this.id, 'runs', id, message.method, message.url);
    request.timer = setTimeout(() => {
      this.#running.delete(request);
      response
        .writeHead(200, {
          'x-hickoryhoist-attempt-id': id,
          'x-hickoryhoist-upstream-signature': `signature-${id}`,
          ...(this.#state === 'draining' ? { 'server-leaving': '1' } : {}),
        })
        .end(`${this.id} ran ${id}`);
      this.#releaseWaiters.splice(0).forEach((resolve) => resolve());
      const next = this.#queue.shift();
      if (next !== undefined) {
        this.#run(next);
      }
    }, request.workMilliseconds);
    this.onRun(run, this);
  }
}
