// A keyed service and what is common to the cases about its keys.
import { wait } from './rig.mjs';

export const KEY_COUNT = 64;
export const keyOf = (index) => Math.floor((index * 65_536) / KEY_COUNT) + 512;
export const KEYS = Array.from({ length: KEY_COUNT }, (_, index) => keyOf(index));

const SAMPLE_MILLISECONDS = 10;

/** A desired state with one service that is divided by key, and one route to it. */
export const KEYED_STATE = {
  services: [
    { name: 'katalog', health_path: '/healthz', max_conns: 120, sharded: true, warm: '5s', grants: 'rpc' },
  ],
  vhosts: [
    {
      host: 'site.example',
      paths: [
        {
          name: 'lookup',
          prefix: '/lookup/',
          kind: 'safe',
          timeout: '1200ms',
          latency_goal: '600ms',
          priority: 2,
          service: 'katalog',
          attempts: 2,
        },
      ],
    },
  ],
};

/** Sends requests to all entry VMs in turn until it is stopped. */
export class Traffic {
  #rig;
  #isStopped = false;
  #done;
  answers = [];

  /** @param chooseKey returns the key of a request by its number. */
  constructor(rig, chooseKey, gapMilliseconds) {
    this.#rig = rig;
    this.#done = this.#run(chooseKey, gapMilliseconds);
  }

  async #run(chooseKey, gapMilliseconds) {
    for (let turn = 0; !this.#isStopped; turn += 1) {
      const key = chooseKey(turn);
      const vm = this.#rig.vms[turn % this.#rig.vms.length];
      void this.#rig.send(vm, { path: `/lookup/${key}`, key }).then((answer) => this.answers.push(answer));
      await wait(gapMilliseconds);
    }
  }

  /** Stops sending and waits until the last time limit has passed. */
  async stop() {
    this.#isStopped = true;
    await this.#done;
    await wait(2_600);
  }
}

/** Watches which upstreams hold the same key at the same time. */
export class HoldWatch {
  #rig;
  #timer;
  /** Since when two upstreams hold the same key, by key and upstreams. */
  #open = new Map();
  /** `{ key, holders, from, to }`. */
  overlaps = [];

  constructor(rig) {
    this.#rig = rig;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_MILLISECONDS);
  }

  #sample() {
    const now = performance.now();
    const present = new Set();
    for (const key of KEYS) {
      const holders = this.#rig.upstreams
        .filter((upstream) => upstream.holdsCounted(key, now))
        .map(({ id }) => id);
      holders.forEach((left, index) => {
        for (const right of holders.slice(index + 1)) {
          const name = `${key} ${left} ${right}`;
          present.add(name);
          if (!this.#open.has(name)) {
            this.#open.set(name, { key, holders: [left, right], from: now, to: now });
            this.#rig.record.note('two-holders', { key, holders: `${left},${right}` });
          }
          this.#open.get(name).to = now;
        }
      });
    }
    for (const [name, overlap] of this.#open) {
      if (!present.has(name)) {
        this.#open.delete(name);
        this.#close(overlap);
      }
    }
  }

  #close(overlap) {
    const { key, holders, from, to } = overlap;
    const begun = holders.map(
      (id) =>
        this.#rig.record.runs.filter(
          (run) => run.upstream === id && run.key === key && run.at >= from && run.at <= to,
        ).length,
    );
    this.overlaps.push({ ...overlap, begun });
    this.#rig.record.note('two-holders-ended', {
      key,
      holders: holders.join(','),
      milliseconds: Math.round(to - from),
      requestsBegun: begun.join(','),
    });
  }

  /** Ends the watch. @returns the overlaps. */
  end() {
    clearInterval(this.#timer);
    this.#open.forEach((overlap) => this.#close(overlap));
    return this.overlaps;
  }
}
