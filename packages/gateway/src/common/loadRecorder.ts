import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

const MAXIMUM_TRACKED_KEYS = 2_048;
const MAXIMUM_REPORTED_KEYS = 300;

/** Busy time of a slice or key, at the server that ran it last. */
interface Work {
  address: string;
  busyMilliseconds: number;
}

interface ServerSum {
  requests: number;
  shed: number;
  busyMilliseconds: number;
}

/** Sums the work of one group as this gateway sees it, over one interval at a time. */
export class LoadRecorder {
  readonly #intervalMilliseconds: number;
  #startedAt = performance.now();
  #servers = new Map<string, ServerSum>();
  #slices = new Map<number, Work>();
  #keys = new Map<KeyHash, Work>();

  constructor(intervalMilliseconds: number) {
    this.#intervalMilliseconds = intervalMilliseconds;
  }

  recordAnswer(address: string, keyHash: KeyHash, sliceCount: number, busyMilliseconds: number): void {
    const sum = this.#server(address);
    sum.requests += 1;
    sum.busyMilliseconds += busyMilliseconds;
    addWork(this.#slices, sliceOf(keyHash, sliceCount), address, busyMilliseconds);
    if (this.#keys.has(keyHash) || this.#keys.size < MAXIMUM_TRACKED_KEYS) {
      addWork(this.#keys, keyHash, address, busyMilliseconds);
    }
  }

  recordShed(address: string): void {
    this.#server(address).shed += 1;
  }

  /** Report over an interval, once for each interval that has passed. */
  report(): LoadReport | undefined {
    const elapsed = performance.now() - this.#startedAt;
    return elapsed >= this.#intervalMilliseconds ? this.#finish(elapsed) : undefined;
  }

  #server(address: string): ServerSum {
    const known = this.#servers.get(address);
    if (known !== undefined) {
      return known;
    }
    const sum = { requests: 0, shed: 0, busyMilliseconds: 0 };
    this.#servers.set(address, sum);
    return sum;
  }

  #finish(elapsed: number): LoadReport {
    const factors = this.#speedFactors();
    const normalized = ({ address, busyMilliseconds }: Work): number =>
      Math.round(busyMilliseconds * (factors.get(address) ?? 1));
    const hottest = [...this.#keys]
      .map(([keyHash, work]) => ({ keyHash, busyMilliseconds: normalized(work) }))
      .sort((left, right) => right.busyMilliseconds - left.busyMilliseconds)
      .slice(0, MAXIMUM_REPORTED_KEYS);
    const report: LoadReport = {
      intervalMilliseconds: Math.round(elapsed),
      servers: [...this.#servers].map(([address, sum]) => ({
        address,
        requests: sum.requests,
        shed: sum.shed,
        busyMilliseconds: Math.round(sum.busyMilliseconds),
      })),
      slices: [...this.#slices].map(([slice, work]) => ({ slice, busyMilliseconds: normalized(work) })),
      keys: hottest,
    };
    this.#startedAt = performance.now();
    this.#servers = new Map();
    this.#slices = new Map();
    this.#keys = new Map();
    return report;
  }

  /** Factors that turn busy time at each server into the time that a server of mean speed would take. */
  #speedFactors(): ReadonlyMap<string, number> {
    const sums = [...this.#servers].filter(
      ([, { requests, busyMilliseconds }]) => requests > 0 && busyMilliseconds > 0,
    );
    const requests = sums.reduce((total, [, sum]) => total + sum.requests, 0);
    const busy = sums.reduce((total, [, sum]) => total + sum.busyMilliseconds, 0);
    const mean = busy / Math.max(1, requests);
    return new Map(sums.map(([address, sum]) => [address, (mean * sum.requests) / sum.busyMilliseconds]));
  }
}

function addWork<Name>(works: Map<Name, Work>, name: Name, address: string, busyMilliseconds: number): void {
  const work = works.get(name);
  if (work === undefined) {
    works.set(name, { address, busyMilliseconds });
    return;
  }
  work.address = address;
  work.busyMilliseconds += busyMilliseconds;
}
