import { type KeyHash, sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

const MAXIMUM_TRACKED_KEYS = 2_048;
const MAXIMUM_REPORTED_KEYS = 300;

/** Busy time of a slice or key, and the server that last ran a request on it. */
interface BusyTime {
  address: string;
  busyMilliseconds: number;
}

interface ServerTotals {
  requests: number;
  shed: number;
  busyMilliseconds: number;
}

/** Adds up the load that this gateway causes in one group, for one interval after the other. */
export class LoadRecorder {
  readonly #intervalMilliseconds: number;
  #startedAt = performance.now();
  #servers = new Map<string, ServerTotals>();
  #slices = new Map<number, BusyTime>();
  #keys = new Map<KeyHash, BusyTime>();

  constructor(intervalMilliseconds: number) {
    this.#intervalMilliseconds = intervalMilliseconds;
  }

  recordResponse(address: string, keyHash: KeyHash, sliceCount: number, busyMilliseconds: number): void {
    const totals = this.#serverTotals(address);
    totals.requests += 1;
    totals.busyMilliseconds += busyMilliseconds;
    addBusyTime(this.#slices, sliceOf(keyHash, sliceCount), address, busyMilliseconds);
    if (this.#keys.has(keyHash) || this.#keys.size < MAXIMUM_TRACKED_KEYS) {
      addBusyTime(this.#keys, keyHash, address, busyMilliseconds);
    }
  }

  recordShed(address: string): void {
    this.#serverTotals(address).shed += 1;
  }

  /** Ends the interval if it has elapsed. @returns its report; undefined while the interval lasts. */
  report(): LoadReport | undefined {
    const elapsed = performance.now() - this.#startedAt;
    return elapsed >= this.#intervalMilliseconds ? this.#completeInterval(elapsed) : undefined;
  }

  #serverTotals(address: string): ServerTotals {
    const known = this.#servers.get(address);
    if (known !== undefined) {
      return known;
    }
    const totals = { requests: 0, shed: 0, busyMilliseconds: 0 };
    this.#servers.set(address, totals);
    return totals;
  }

  #completeInterval(elapsed: number): LoadReport {
    const factors = this.#speedFactors();
    const normalized = ({ address, busyMilliseconds }: BusyTime): number =>
      Math.round(busyMilliseconds * (factors.get(address) ?? 1));
    const hottest = [...this.#keys]
      .map(([keyHash, busyTime]) => ({ keyHash, busyMilliseconds: normalized(busyTime) }))
      .sort((left, right) => right.busyMilliseconds - left.busyMilliseconds)
      .slice(0, MAXIMUM_REPORTED_KEYS);
    const report: LoadReport = {
      intervalMilliseconds: Math.round(elapsed),
      servers: [...this.#servers].map(([address, totals]) => ({
        address,
        requests: totals.requests,
        shed: totals.shed,
        busyMilliseconds: Math.round(totals.busyMilliseconds),
      })),
      slices: [...this.#slices].map(([slice, busyTime]) => ({
        slice,
        busyMilliseconds: normalized(busyTime),
      })),
      keys: hottest,
    };
    this.#startedAt = performance.now();
    this.#servers = new Map();
    this.#slices = new Map();
    this.#keys = new Map();
    return report;
  }

  /** Factors that convert the busy time at each server to that of a server of average speed. */
  #speedFactors(): ReadonlyMap<string, number> {
    const busyServers = [...this.#servers].filter(
      ([, { requests, busyMilliseconds }]) => requests > 0 && busyMilliseconds > 0,
    );
    const requests = busyServers.reduce((sum, [, totals]) => sum + totals.requests, 0);
    const busy = busyServers.reduce((sum, [, totals]) => sum + totals.busyMilliseconds, 0);
    const mean = busy / Math.max(1, requests);
    return new Map(
      busyServers.map(([address, totals]) => [address, (mean * totals.requests) / totals.busyMilliseconds]),
    );
  }
}

function addBusyTime<Key>(
  busyTimes: Map<Key, BusyTime>,
  key: Key,
  address: string,
  busyMilliseconds: number,
): void {
  const busyTime = busyTimes.get(key);
  if (busyTime === undefined) {
    busyTimes.set(key, { address, busyMilliseconds });
    return;
  }
  busyTime.address = address;
  busyTime.busyMilliseconds += busyMilliseconds;
}
