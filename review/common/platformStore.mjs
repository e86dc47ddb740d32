import { createServer } from 'node:http';

const ANSWER_MILLISECONDS = 4;

/** Stand-in for the platform's metadata store: rows, transactions and feeds, as PROTOCOL.md describes them. */
export class PlatformStore {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiters = new Set();
  #startedAt = performance.now();
  /** While true, every call is answered with 503 and nothing is done. */
  isBusy = false;
  #server = createServer((message, response) => {
    this.#serve(message, response).catch(() => response.destroy());
  });

  async listen() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or a server does. @returns false if the store turned the call away. */
  put(table, key, value) {
    if (this.isBusy) {
      return false;
    }
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
    return true;
  }

  delete(table, key) {
    if (this.isBusy) {
      return false;
    }
    this.#apply([], [{ table, key }]);
    return true;
  }

  #apply(puts, deletes) {
    this.#version += 1;
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver: this.#version };
      this.#rows.set(rowId(row), row);
      this.#changes.push(row);
    }
    for (const { table, part = '', key } of deletes) {
      const row = { table, part, key, ver: this.#version, tombstone: true };
      this.#rows.delete(rowId(row));
      this.#changes.push(row);
    }
    for (const wake of this.#waiters) {
      wake();
    }
  }

  async #serve(message, response) {
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MILLISECONDS));
    const url = new URL(message.url, 'http://store');
    const { status, body } = this.isBusy
      ? { status: 503, body: {} }
      : await this.#call(url, Buffer.concat(chunks).toString('utf8'));
    const now = `${Math.round(performance.now() - this.#startedAt)}ms`;
    response
      .writeHead(status, { 'content-type': 'application/json' })
      .end(JSON.stringify({ ver: this.#version, now, ...body }));
  }

  #call(url, text) {
    switch (url.pathname) {
      case '/hickoryhoist/rows-get':
        return this.#read(url.searchParams);
      case '/hickoryhoist/rows-feed':
        return this.#feed(url.searchParams);
      case '/hickoryhoist/rows-tx':
        return this.#transact(JSON.parse(text));
      default:
        return { status: 404, body: {} };
    }
  }

  #read(query) {
    const from = query.get('from') ?? '';
    const rows = [...this.#rows.values()]
      .filter(
        ({ table, part, key }) =>
          table === query.get('table') && part === (query.get('part') ?? '') && key >= from,
      )
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { status: 200, body: { rows, has_more: false } };
  }

  async #feed(query) {
    const after = Number(query.get('after'));
    const endsAt = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      if (this.isBusy) {
        return { status: 503, body: {} };
      }
      const rows = this.#changes.filter(({ table, ver }) => table === query.get('table') && ver > after);
      const left = endsAt - performance.now();
      if (rows.length > 0 || left <= 0) {
        return { status: 200, body: { rows, ver: this.#version } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiters.add(wake);
      });
    }
  }

  #transact({ expect_rev: expected = [], puts = [], delete: deletes = [] }) {
    const isExpected = expected.every((row) => (this.#rows.get(rowId(row))?.ver ?? 0) === row.ver);
    if (!isExpected) {
      const rows = expected.flatMap((row) => this.#rows.get(rowId(row)) ?? []);
      return { status: 412, body: { rows } };
    }
    this.#apply(puts, deletes);
    return { status: 200, body: { ver: this.#version } };
  }

  /** Ends the waits of the feeds, as the store does when it goes down. */
  setBusy(isBusy) {
    this.isBusy = isBusy;
    for (const wake of [...this.#waiters]) {
      wake();
    }
  }
}

function rowId({ table, part = '', key }) {
  return `${table}\n${part}\n${key}`;
}
