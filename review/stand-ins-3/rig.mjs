/**
 * Stand-ins for the platform's store, upstreams and clients, and a rig that starts the project's entry program as
 * separate processes with the command of deploy/system.toml. Uses only Node's own modules, loopback addresses and the
 * real clock. Written from PROTOCOL.md and DEPLOY.md.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repository = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));
export const isTroubled = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Record {
  #lines = [];
  #startedAt = performance.now();
  #path;

  constructor(folder) {
    this.#path = join(folder, 'record.txt');
  }

  add(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}

const freePort = (host) =>
  new Promise((done, fail) => {
    const probe = net.createServer();
    probe.once('error', fail);
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => done(port));
    });
  });

const readBody = async (message) => {
  const chunks = [];
  for await (const chunk of message) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** The platform's store: rows, transactions and the change feed. Each caller has an address of its own. */
export class Store {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiters = new Set();
  #servers = [];
  /** Callers that get no response at all, as if their packets were dropped. */
  silenced = new Set();
  /** Callers that get 503. */
  refused = new Set();

  async listen(caller) {
    const server = http.createServer((message, response) => {
      this.#serve(caller, message, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((done) => server.listen(0, '127.0.0.1', done));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Rises by one with each return from an older copy. */
  #era = 0;
  /** Whether the store is away for all: every call gets 503. */
  isAway = false;

  takeCopy() {
    return { rows: new Map(this.#rows), changes: [...this.#changes], version: this.#version };
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
  returnFrom({ rows, changes, version }) {
    this.#rows = new Map(rows);
    this.#changes = [...changes];
    this.#version = version;
    this.#era += 1;
    for (const wake of [...this.#waiters]) {
      wake();
    }
  }

  /** Writes a row as an operator or an upstream does. */
  put(table, key, value) {
    this.#apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
  }

  delete(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  row(table, key) {
    const row = this.#rows.get(`${table}\n${key}`);
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  #apply(puts, deletes) {
    this.#version += 1;
    for (const { table, key, value } of puts) {
      const row = { table, part: '', key, value, ver: this.#version };
      this.#rows.set(`${table}\n${key}`, row);
      this.#changes.push(row);
    }
    for (const { table, key } of deletes) {
      this.#rows.delete(`${table}\n${key}`);
      this.#changes.push({ table, part: '', key, ver: this.#version, tombstone: true });
    }
    for (const wake of [...this.#waiters]) {
      wake();
    }
  }

  async #serve(caller, message, response) {
    const body = await readBody(message);
    await sleep(4);
    if (this.silenced.has(caller)) {
      return;
    }
    if (this.isAway || this.refused.has(caller)) {
      response.writeHead(503, { 'store-era': `${this.#era}` }).end();
      return;
    }
    const url = new URL(message.url, 'http://store');
    const { status, document } = await this.#call(url, body, response);
    if (this.silenced.has(caller)) {
      return;
    }
    const text = JSON.stringify({
      ver: this.#version,
      now: `${Math.round(performance.now())}ms`,
      ...document,
    });
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': `${this.#era}` }).end(text);
  }

  async #call(url, body, response) {
    const table = url.searchParams.get('table') ?? '';
    switch (url.pathname) {
      case '/hickoryhoist/rows-get': {
        const from = url.searchParams.get('from') ?? '';
        const rows = [...this.#rows.values()].filter((row) => row.table === table && row.key >= from);
        rows.sort((left, right) => (left.key < right.key ? -1 : 1));
        return { status: 200, document: { rows: rows.slice(0, 500), has_more: rows.length > 500 } };
      }
      case '/hickoryhoist/rows-feed': {
        const after = Number(url.searchParams.get('after'));
        if (after > this.#version) {
          return { status: 410, document: {} };
        }
        const rows = await this.#feed(table, after, Number(url.searchParams.get('wait_ms')), response);
        return { status: 200, document: { rows } };
      }
      case '/hickoryhoist/rows-tx': {
        const {
          expect_rev: expected = [],
          puts = [],
          delete: deletes = [],
        } = JSON.parse(body.toString('utf8'));
        const isMet = expected.every(
          ({ table: name, key, ver }) => (this.#rows.get(`${name}\n${key}`)?.ver ?? 0) === ver,
        );
        if (!isMet) {
          return { status: 412, document: { rows: [] } };
        }
        this.#apply(puts, deletes);
        return { status: 200, document: {} };
      }
      default:
        return { status: 404, document: {} };
    }
  }

  async #feed(table, after, waitMilliseconds, response) {
    const endsAt = performance.now() + waitMilliseconds;
    const era = this.#era;
    for (;;) {
      if (this.#era !== era) {
        // The wait ends with the store that it was sent to.
        response.destroy();
        return [];
      }
      const changes = this.#changes.filter((row) => row.table === table && row.ver > after);
      if (changes.length > 0 || performance.now() >= endsAt || response.destroyed) {
        return changes;
      }
      await new Promise((done) => {
        const timer = setTimeout(finish, endsAt - performance.now());
        const waiters = this.#waiters;
        function finish() {
          clearTimeout(timer);
          waiters.delete(finish);
          done();
        }
        waiters.add(finish);
      });
    }
  }
}

/**
 * An upstream. `respond` may be replaced to answer in another way that the pages allow; it gets the request and a
 * function that gives the usual answer.
 */
export class Upstream {
  #server;
  #store;
  #record;
  #grants = [];
  #heartbeat;
  state = 'ready';
  /** Ids of requests that it began to run. */
  ran = [];
  /** All requests that arrived, with their times. */
  arrivals = [];
  workMilliseconds = 20;
  respond = (_request, answer) => answer();

  constructor({ id, service, store, record, zone = 'zone-1', slots = 4, isKeyed = false }) {
    Object.assign(this, { id, service, zone, slots, isKeyed, born: Date.now() });
    this.#store = store;
    this.#record = record;
  }

  async listen() {
    this.#server = http.createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
    await new Promise((done) => this.#server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.announce();
    this.#heartbeat = setInterval(() => this.announce(), 870);
  }

  /** Whether it reaches the store; its entry expires after three heartbeats of silence. */
  #isCut = false;
  #seq = 0;

  announce() {
    if (this.#isCut || this.state === 'gone') {
      return;
    }
    this.#seq += 1;
    this.#store.put('servers', this.id, {
      address: this.address,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state: this.state, seq: this.#seq, warmup_left: '0ms' },
    });
  }

  async cutFromStore(milliseconds) {
    this.#isCut = true;
    await sleep(3 * 870);
    this.#store.delete('servers', this.id);
    await sleep(milliseconds - 3 * 870);
    this.#isCut = false;
    this.announce();
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  holds(key) {
    const now = performance.now();
    return this.#grants.some(({ from, to, until }) => from <= key && key <= to && now < until);
  }

  async #serve(message, response) {
    const body = await readBody(message);
    const { url, headers } = message;
    if (url === '/hickoryhoist/grant') {
      const { from, to, fence, hold_time } = JSON.parse(body.toString());
      const isFenced = this.#grants.some(
        (grant) => grant.from <= to && from <= grant.to && grant.fence > fence,
      );
      if (isFenced) {
        response.writeHead(409).end();
        return;
      }
      const milliseconds = hold_time.endsWith('ms') ? parseFloat(hold_time) : parseFloat(hold_time) * 1_000;
      this.#grants = this.#grants.filter((grant) => grant.from !== from || grant.to !== to);
      this.#grants.push({ from, to, fence, until: performance.now() + milliseconds });
      response.writeHead(200).end();
      return;
    }
    if (url === '/hickoryhoist/release') {
      const { from, to } = JSON.parse(body.toString());
      this.#grants = this.#grants.flatMap((grant) =>
        grant.to < from || to < grant.from
          ? [grant]
          : [
              { ...grant, to: from - 1 },
              { ...grant, from: to + 1 },
              { ...grant, until: 0 },
            ].filter((part) => part.from <= part.to),
      );
      response.writeHead(200, { 'x-hickoryhoist-handover': 'warm' }).end();
      return;
    }
    const id = headers['x-hickoryhoist-attempt-id'];
    this.arrivals.push({ id, at: performance.now() });
    const target = headers['x-hickoryhoist-target-instance'];
    const key = Number(headers['x-hickoryhoist-shard-key']);
    if ((target !== undefined && target !== this.id) || (this.isKeyed && !this.holds(key))) {
      response.writeHead(421, { 'x-hickoryhoist-attempt-id': id, 'x-hickoryhoist-not-executed': '1' }).end();
      return;
    }
    const request = { id, url, method: message.method, headers, body, message, response };
    this.respond(request, () => void this.run(request));
  }

  /** Runs a request and answers it. */
  async run({ id, response, url, body }, { responseBody, headers = {} } = {}) {
    this.ran.push(id);
    this.#record.add(`${this.id} runs ${id}`);
    await sleep(this.workMilliseconds);
    const bytes = responseBody ?? Buffer.from(`${this.id} ${url} ${body.length}`);
    response.writeHead(200, {
      'x-hickoryhoist-attempt-id': id,
      'x-hickoryhoist-upstream-signature': `signature.${this.id}.${id}`,
      'content-length': bytes.length,
      ...headers,
    });
    response.end(bytes);
  }
}

function deployCommand() {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** An entry VM: the project's program as a process, at a loopback address of its own. */
export class EntryVm {
  #settingsPath;
  #child;
  #record;
  /** What the process wrote. */
  output = '';

  constructor(name, host, record) {
    this.name = name;
    this.host = host;
    this.#record = record;
  }

  async prepare(folder, { storeAddress, peerPort, bounds = {}, limits = {}, isFirstStart = true }) {
    this.front = `${this.host}:${await freePort(this.host)}`;
    this.ready = `${this.host}:${await freePort(this.host)}`;
    this.#settingsPath = join(folder, `${this.name}.json`);
    this.settings = {
      node: this.name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front'],
      ip: this.host,
      zone: 'zone-1',
      region: 'region-1',
      zones: { 'zone-1': 'region-1' },
      listen: { front: this.front, ready_addr: this.ready },
      port_range: [peerPort, peerPort + 15],
      seeds: [],
      bootstrap: isFirstStart,
      counts_as_loss: true,
      limits: {
        cpu_share: 1,
        speed_factor: 1,
        memory_mb: 285,
        max_fds: 3075,
        link_mbps: 750,
        disk_mb: 0,
        ...limits,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat: '870ms',
      bounds: {
        contact: '3000ms',
        ack: '4000ms',
        drain: '2000ms',
        grace: '6s',
        loss_slack: '200ms',
        apply: '2000ms',
        budget_ratio: 0.2,
        budget_window: '10s',
        budget_extra: 60,
        hold_max: '10000ms',
        thaw: '300ms',
        ...bounds,
      },
      platform: { address: storeAddress, form: 'table', writes_per_s: 400, reads_per_s: 2000 },
    };
  }

  start() {
    writeFileSync(this.#settingsPath, JSON.stringify(this.settings));
    const [program, ...words] = deployCommand();
    this.#child = spawn(program, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, HICKORYHOIST_SETTINGS: this.#settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk) => (this.output += chunk);
    this.#child.stdout.on('data', keep);
    this.#child.stderr.on('data', keep);
    this.exited = new Promise((done) => this.#child.once('exit', (code, signal) => done(signal ?? code)));
    this.isRunning = true;
    void this.exited.then((how) => {
      this.isRunning = false;
      this.#record.add(`${this.name} has ended: ${how}`);
    });
  }

  get pid() {
    return this.#child.pid;
  }

  signal(name) {
    this.#record.add(`${this.name} gets ${name}`);
    this.#child.kill(name);
  }

  /** Whether it is the assigner, by its metrics. */
  isAssigner() {
    return new Promise((done) => {
      const request = http.get(
        `http://${this.host}:9464/metrics`,
        { agent: false, timeout: 1_000 },
        (answer) => {
          let text = '';
          answer.on('data', (chunk) => (text += chunk));
          answer.on('end', () => done(/^hickoryhoist_is_assigner 1/m.test(text)));
        },
      );
      request.on('error', () => done(false));
      request.on('timeout', () => request.destroy());
    });
  }

  isReady() {
    return new Promise((done) => {
      const request = http.get(
        `http://${this.ready}/hickoryhoist/ready`,
        { agent: false, timeout: 1_000 },
        (answer) => {
          answer.resume();
          done(answer.statusCode === 200);
        },
      );
      request.on('error', () => done(false));
      request.on('timeout', () => request.destroy());
    });
  }
}

/** A small deployment: a store, upstreams and entry VMs. Everything that it starts has ended after `stop`. */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  #upstreams = [];
  entryVms = [];
  store = new Store();

  constructor(record) {
    this.record = record;
  }

  async addUpstream(options) {
    const upstream = new Upstream({ ...options, store: this.store, record: this.record });
    await upstream.listen();
    this.#upstreams.push(upstream);
    return upstream;
  }

  /** Writes a desired state. Routes have defaults for what they leave out. */
  publish(version, { routes, services, limits = {} }) {
    this.store.put('op', 'config', {
      version: `r${version}`,
      services: services.map((service) => ({ max_conns: 120, health_path: '/healthz', ...service })),
      limits: {
        header_bytes: 16_384,
        body_bytes: 8_388_608,
        header_timeout: '5s',
        idle_timeout: '15s',
        ...limits,
      },
      vhosts: [
        {
          host: 'shop.example',
          paths: routes.map((route) => ({
            kind: 'safe',
            timeout: '3s',
            latency_goal: '800ms',
            priority: 1,
            attempts: 2,
            ...route,
          })),
        },
      ],
    });
  }

  async startEntryVms(count, options = {}) {
    const peerPort = await freePort('127.0.0.1');
    for (let index = 0; index < count; index += 1) {
      const entryVm = new EntryVm(`front-${index + 1}`, `127.0.0.${index + 2}`, this.record);
      const storeAddress = await this.store.listen(entryVm.name);
      await entryVm.prepare(this.#folder, { storeAddress, peerPort, ...options });
      this.entryVms.push(entryVm);
      entryVm.start();
    }
    const until = performance.now() + 20_000;
    for (const entryVm of this.entryVms) {
      while (!(await entryVm.isReady())) {
        if (performance.now() > until) {
          throw new Error(`${entryVm.name} did not become ready: ${entryVm.output.slice(-2_000)}`);
        }
        await sleep(50);
      }
    }
    return this.entryVms;
  }

  async stop() {
    for (const entryVm of this.entryVms) {
      if (entryVm.isRunning) {
        entryVm.signal('SIGKILL');
      }
      await entryVm.exited;
    }
    for (const upstream of this.#upstreams) {
      upstream.close();
    }
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

let nextId = 1;
export const newRequestId = () => `${process.pid.toString(16)}${(nextId++).toString(16).padStart(8, '0')}`;

/** Sends one request on a new connection and resolves with what came back. */
export function sendRequest(
  address,
  { method = 'GET', path, id = newRequestId(), timeout = 3_000, headers = {}, body },
) {
  return new Promise((done) => {
    const sentAt = performance.now();
    const request = http.request(`http://${address}${path}`, {
      method,
      agent: false,
      headers: {
        host: 'shop.example',
        'x-hickoryhoist-attempt-id': id,
        'x-hickoryhoist-timeout-ms': `${timeout}`,
        ...(body === undefined ? {} : { 'content-length': body.length }),
        ...headers,
      },
    });
    const finish = (result) => {
      clearTimeout(timer);
      done({ id, milliseconds: performance.now() - sentAt, ...result });
    };
    const timer = setTimeout(() => {
      request.destroy();
      finish({ kind: 'no-answer' });
    }, timeout + 1_000);
    request.on('response', (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () =>
        finish({
          kind: 'answered',
          status: answer.statusCode,
          headers: answer.headers,
          body: Buffer.concat(chunks),
        }),
      );
      answer.on('error', () =>
        finish({ kind: 'cut', status: answer.statusCode, bytes: Buffer.concat(chunks).length }),
      );
    });
    request.on('error', (error) => finish({ kind: 'cut', reason: error.code ?? error.message }));
    request.end(body);
  });
}

/** The platform's limit: kills a process whose anonymous memory alone exceeds it. */
export function watchMemory(entryVms, memoryMb, record, killed) {
  const highest = new Map(entryVms.map(({ name }) => [name, 0]));
  const latest = new Map();
  const timer = setInterval(() => {
    for (const entryVm of entryVms.filter(({ isRunning }) => isRunning)) {
      let status;
      try {
        status = readFileSync(`/proc/${entryVm.pid}/status`, 'utf8');
      } catch {
        continue;
      }
      const megabytes = (Number(/RssAnon:\s+(\d+)/.exec(status)?.[1] ?? 0) * 1_024) / 1_000_000;
      latest.set(entryVm.name, megabytes);
      highest.set(entryVm.name, Math.max(highest.get(entryVm.name), megabytes));
      if (megabytes > memoryMb && !killed.has(entryVm.name)) {
        killed.add(entryVm.name);
        record.add(
          `${entryVm.name} holds ${megabytes.toFixed(0)} MB, above ${memoryMb} MB: the platform kills it`,
        );
        entryVm.signal('SIGKILL');
      }
    }
  }, 10);
  const now = ({ name }) => latest.get(name)?.toFixed(0);
  return { highest, now, stop: () => clearInterval(timer) };
}

/** Sends loans one after the other on one kept connection, and notes those that its end leaves without an answer. */
export async function keepLending(entryVm, upstreams, isOver, lost, timeLimit = 3_000) {
  const [host, port] = entryVm.front.split(':');
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  let answered = 0;
  while (!isOver()) {
    const id = newRequestId();
    const result = await new Promise((done) => {
      const request = http.request({
        host,
        port,
        agent,
        method: 'POST',
        path: '/loan/one',
        headers: {
          host: 'shop.example',
          'x-hickoryhoist-attempt-id': id,
          'x-hickoryhoist-timeout-ms': `${timeLimit}`,
          'content-length': 4,
        },
      });
      request.on('response', (answer) => {
        answer.resume();
        const waitSeconds = Number(answer.headers['retry-after'] ?? 0);
        answer.on('end', () => setTimeout(() => done('answered'), waitSeconds * 1_000));
        answer.on('error', () => done('cut'));
      });
      request.on('error', () => done('cut'));
      request.end('loan');
    });
    if (result === 'cut') {
      if (answered > 0 && upstreams.some(({ ran }) => ran.includes(id))) {
        lost.push(id);
      }
      break;
    }
    answered += 1;
  }
  agent.destroy();
}

/**
 * Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param play gets the deployment and the record; returns the violations as text.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  record.add(`disruption: ${isTroubled ? 'on' : 'off'}`);
  const deployment = new Deployment(record);
  let code = 2;
  try {
    const violations = await play(deployment, record);
    violations.forEach((text) => record.add(`BROKEN ${text}`));
    record.add(violations.length === 0 ? 'the rule held' : 'the rule was broken');
    code = violations.length === 0 ? 0 : 1;
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  }
  await deployment.stop().catch((error) => record.add(`stop: ${error.stack}`));
  record.write();
  process.exit(code);
}
