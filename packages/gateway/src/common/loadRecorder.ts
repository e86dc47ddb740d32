import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

const MAXIMUM_TRACKED_KEYS = 2_048;
const MAXIMUM_REPORTED_KEYS = 300;

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
  #slices = new Map<number, number>();
  #keys = new Map<KeyHash, number>();

  constructor(intervalMilliseconds: number) {
    this.#intervalMilliseconds = intervalMilliseconds;
  }

  recordAnswer(address: string, keyHash: KeyHash, sliceCount: number, busyMilliseconds: number): void {
    const sum = this.#server(address);
    sum.requests += 1;
    sum.busyMilliseconds += busyMilliseconds;
    const slice = sliceOf(keyHash, sliceCount);
    this.#slices.set(slice, (this.#slices.get(slice) ?? 0) + busyMilliseconds);
    if (this.#keys.has(keyHash) || this.#keys.size < MAXIMUM_TRACKED_KEYS) {
      this.#keys.set(keyHash, (this.#keys.get(keyHash) ?? 0) + busyMilliseconds);
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
    const hottest = [...this.#keys]
      .sort(([, left], [, right]) => right - left)
      .slice(0, MAXIMUM_REPORTED_KEYS);
    const report: LoadReport = {
      intervalMilliseconds: Math.round(elapsed),
      servers: [...this.#servers].map(([address, sum]) => ({
        address,
        requests: sum.requests,
        shed: sum.shed,
        busyMilliseconds: Math.round(sum.busyMilliseconds),
      })),
      slices: [...this.#slices].map(([slice, busy]) => ({ slice, busyMilliseconds: Math.round(busy) })),
      keys: hottest.map(([keyHash, busy]) => ({ keyHash, busyMilliseconds: Math.round(busy) })),
    };
    this.#startedAt = performance.now();
    this.#servers = new Map();
    this.#slices = new Map();
    this.#keys = new Map();
    return report;
  }
}
