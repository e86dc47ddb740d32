import type { ProcessingTimeEstimate } from '@hickoryhoist/dispatch/common/processingTimes.js';
import type { KeyTraffic } from '@hickoryhoist/keyownership/common/keyPlanner.js';
import { KeyTrafficWindow } from '@hickoryhoist/keyownership/common/keyTrafficWindow.js';

/** Limit for each service. If there are more requests in the interval, the first ones serve as a sample. */
const MAX_KEYS_PER_REPORT = 120;

/** What entry VMs report about recent requests: their keys by service, and the processing times of servers. */
export class KeyTrafficReports {
  readonly #windows = new Map<string, KeyTrafficWindow>();
  readonly #processingTimes = new Map<string, ProcessingTimeEstimate>();
  #recentKeys: Record<string, number[]> = {};

  /** Reported processing times by server. */
  get processingTimes(): ReadonlyMap<string, ProcessingTimeEstimate> {
    return this.#processingTimes;
  }

  /** Records a request of this process for its next report. */
  recordRequest(service: string, key: number): void {
    const keys = (this.#recentKeys[service] ??= []);
    if (keys.length < MAX_KEYS_PER_REPORT) {
      keys.push(key);
    }
  }

  /** Keys of the requests of this process since the last call, by service. */
  takeRecentKeys(): Record<string, number[]> {
    const keys = this.#recentKeys;
    this.#recentKeys = {};
    return keys;
  }

  recordReport(
    keys: Readonly<Record<string, readonly number[]>>,
    estimates: Iterable<readonly [string, ProcessingTimeEstimate]>,
  ): void {
    const now = performance.now();
    for (const [service, serviceKeys] of Object.entries(keys)) {
      this.#windowOf(service).record(serviceKeys, now);
    }
    for (const [id, estimate] of estimates) {
      this.#processingTimes.set(id, estimate);
    }
  }

  traffic(service: string): KeyTraffic {
    return this.#windowOf(service).traffic(performance.now());
  }

  /** The newest part of the traffic. */
  newestTraffic(service: string): KeyTraffic {
    return this.#windowOf(service).newestTraffic(performance.now());
  }

  #windowOf(service: string): KeyTrafficWindow {
    const known = this.#windows.get(service);
    if (known !== undefined) {
      return known;
    }
    const window = new KeyTrafficWindow();
    this.#windows.set(service, window);
    return window;
  }
}
