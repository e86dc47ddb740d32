import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CannotRunError, waitFor } from './record.mjs';

const ROOT = join(import.meta.dirname, '../..');

/** Starts the project's program on several machines, each with a loopback address of its own. */
export class Machines {
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  #children = [];
  list = [];

  async start(count, storeAddress, record) {
    const network = 20 + (process.pid % 200);
    const peerPort = await freePort('127.0.0.1');
    const run = /^run = "node (.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1];
    if (run === undefined) {
      throw new CannotRunError('deploy/system.toml has no run line');
    }
    for (let index = 0; index < count; index += 1) {
      const ip = `127.${network}.${1 + (process.pid % 251)}.${index + 1}`;
      const name = `front-zone-a-${index + 1}`;
      const machine = { name, ip, front: await freePort(ip), ready: await freePort(ip) };
      const settings = join(this.#directory, `${name}.json`);
      writeFileSync(settings, JSON.stringify(settingsOf(machine, peerPort, storeAddress)));
      const log = createWriteStream(join(this.#directory, `${name}.log`));
      const child = spawn(process.execPath, run.split(' '), {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, HICKORYHOIST_SETTINGS: settings },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.pipe(log, { end: false });
      child.stderr.pipe(log, { end: false });
      this.#children.push(child);
      machine.child = child;
      this.list.push(machine);
      record.write('machine', name, 'starts');
    }
    for (const machine of this.list) {
      await waitFor(`${machine.name} is ready`, () => this.isReady(machine));
    }
    record.write('all machines are ready');
  }

  async isReady({ ip, ready }) {
    const { status } = await call({ host: ip, port: ready, path: '/hickoryhoist/ready', timeout: 1_000 });
    return status === 200;
  }

  /** Sends one client attempt over a kept connection. @returns its status, 0 for a connection without an answer. */
  send({ ip, front }, { method = 'GET', path, host, headers, body, timeout }) {
    return call({
      agent: this.#agent,
      host: ip,
      port: front,
      method,
      path,
      body,
      timeout,
      headers: { host, ...headers },
    });
  }

  /** Text of the log of a machine. */
  log({ name }) {
    return readFileSync(join(this.#directory, `${name}.log`), 'utf8');
  }

  async stop() {
    this.#agent.destroy();
    for (const child of this.#children) {
      if (child.exitCode === null && child.signalCode === null) {
        const exited = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        await exited;
      }
    }
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#directory, { recursive: true, force: true });
    } else {
      process.stdout.write(`logs in ${this.#directory}\n`);
    }
  }
}

function settingsOf({ name, ip, front, ready }, peerPort, storeAddress) {
  return {
    node: name,
    role: 'entry',
    machine_class: 'front',
    serves: ['front'],
    ip,
    zone: 'zone-a',
    region: 'region',
    zones: { 'zone-a': 'region' },
    listen: { front: `${ip}:${front}`, ready_addr: `${ip}:${ready}` },
    port_range: [peerPort, peerPort],
    bootstrap: true,
    limits: { cpu_share: 0.54, speed_factor: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
    heartbeat: '870ms',
    bounds: {
      contact: '3000ms',
      drain: '2000ms',
      grace: '6s',
      apply: '2000ms',
      budget_ratio: 0.2,
      budget_window: '10s',
      budget_extra: 60,
      hold_max: '10000ms',
      thaw: '300ms',
    },
    platform: { address: storeAddress, writes_per_s: 400, reads_per_s: 2000, tx: '4ms', history: '20s' },
  };
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function call({ timeout, body, ...options }) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const message = request(
      {
        ...options,
        ...(body === undefined
          ? {}
          : { headers: { ...options.headers, 'content-length': Buffer.byteLength(body) } }),
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString('utf8'),
          }),
        );
        response.on('error', () => finish({ status: 0, headers: {}, text: 'the answer broke off' }));
      },
    );
    const timer = setTimeout(() => message.destroy(new Error('no answer in time')), timeout);
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ ...result, isReused: message.reusedSocket, milliseconds: performance.now() - startedAt });
    };
    message.on('error', (error) => finish({ status: 0, headers: {}, text: error.message }));
    message.end(body);
  });
}
