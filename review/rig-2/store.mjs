// Stand-in for the platform's metadata store, by PROTOCOL.md and the news page (`Store-Era`).
import { createServer } from 'node:http';

const FEED_POLL_MILLISECONDS = 5;
const ANSWER_MILLISECONDS = 4;

const wait = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));
const rowId = (table, key) => `${table}\n${key}`;

/** Rows in tables with one version counter. Each entry VM gets an address of its own, so that it can be cut off alone. */
export class Store {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #historyStart = 0;
  #servers = [];
  era = 1;
  /** While true, no call is answered and connections are reset: the store is away. */
  isAway = false;
  /** Called with each write call of an entry VM: its name, the transaction and the status. */
  onTransaction = () => undefined;

  get version() {
    return this.#version;
  }

  /** Opens an address of the store. @returns `{ address, isCut }`; while `isCut` is true its calls get no answer. */
  async open(name) {
    const door = { name, isCut: false, address: '' };
    const server = createServer((message, response) => {
      this.#serve(door, message, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    door.address = `127.0.0.1:${server.address().port}`;
    this.#servers.push(server);
    return door;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** A write of the operator or of an upstream. @returns false while the store is away. */
  put(table, key, value) {
    if (this.isAway) {
      return false;
    }
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
    return true;
  }

  remove(table, key) {
    if (!this.isAway && this.#rows.has(rowId(table, key))) {
      this.#apply([], [{ table, key }]);
    }
  }

  get(table, key) {
    const row = this.#rows.get(rowId(table, key));
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  takeCopy() {
    return { rows: new Map(this.#rows), version: this.#version, changes: [...this.#changes] };
  }

  goAway() {
    this.isAway = true;
    this.#servers.forEach((server) => server.closeAllConnections());
  }

  /** Comes back, from an older copy if one is given. */
  comeBack(copy) {
    if (copy !== undefined) {
      this.#rows = new Map(copy.rows);
      this.#changes = [...copy.changes];
      this.#version = copy.version;
      this.era += 1;
    }
    this.isAway = false;
  }

  /** Drops the history of changes. */
  compact() {
    this.#historyStart = this.#version;
    this.#changes = [];
  }

  #apply(puts, deletes) {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, key, value } of puts) {
      const row = { table, part: '', key, value, ver };
      this.#rows.set(rowId(table, key), row);
      this.#changes.push(row);
    }
    for (const { table, key } of deletes) {
      this.#rows.delete(rowId(table, key));
      this.#changes.push({ table, part: '', key, ver, tombstone: true });
    }
    return ver;
  }

  async #serve(door, message, response) {
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    const isSilent = () => this.isAway || door.isCut;
    await wait(ANSWER_MILLISECONDS);
    if (isSilent()) {
      await this.#fail(response);
      return;
    }
    const url = new URL(message.url, 'http://store');
    const { status, body } = await this.#call(
      door,
      url,
      Buffer.concat(chunks).toString('utf8'),
      isSilent,
      response,
    );
    if (isSilent()) {
      await this.#fail(response);
      return;
    }
    response
      .writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) })
      .end(JSON.stringify({ now: `${Math.round(performance.now())}ms`, ...body }));
  }

  async #fail(response) {
    if (!this.isAway) {
      await wait(30_000);
    }
    response.destroy();
  }

  async #call(door, url, text, isSilent, response) {
    const table = url.searchParams.get('table') ?? '';
    switch (url.pathname) {
      case '/hickoryhoist/rows-get':
        return this.#read(table, url.searchParams);
      case '/hickoryhoist/rows-feed':
        return this.#feed(table, url.searchParams, isSilent, response);
      case '/hickoryhoist/rows-tx':
        return this.#transact(door.name, JSON.parse(text));
      default:
        return { status: 404, body: {} };
    }
  }

  #read(table, query) {
    const from = query.get('from') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      status: 200,
      body: { rows: rows.slice(0, limit), has_more: rows.length > limit, ver: this.#version },
    };
  }

  async #feed(table, query, isSilent, response) {
    const after = Number(query.get('after'));
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('wait_ms')));
    const { era } = this;
    for (;;) {
      if (era !== this.era || after < this.#historyStart || after > this.#version) {
        return { status: 410, body: {} };
      }
      const rows = this.#changes.filter((row) => row.table === table && row.ver > after);
      if (rows.length > 0 || performance.now() >= endsAt || isSilent() || response.destroyed) {
        return { status: 200, body: { rows, ver: this.#version } };
      }
      await wait(FEED_POLL_MILLISECONDS);
    }
  }

  #transact(name, { expect_rev: expected = [], puts = [], delete: deletes = [] }) {
    const isMet = expected.every(
      ({ table, key, ver }) => (this.#rows.get(rowId(table, key))?.ver ?? 0) === ver,
    );
    if (!isMet) {
      this.onTransaction(name, { expected, puts, deletes }, 412);
      const rows = expected.flatMap(({ table, key }) => this.#rows.get(rowId(table, key)) ?? []);
      return { status: 412, body: { rows, ver: this.#version } };
    }
    const ver = this.#apply(puts, deletes);
    this.onTransaction(name, { expected, puts, deletes }, 200);
    return { status: 200, body: { ver } };
  }
}
