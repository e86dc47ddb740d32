import { costlyBytes } from '@hickoryhoist/dispatch/common/serverPlacement.js';
import type { CallerRequest } from '@hickoryhoist/dispatch/common/callerRequest.js';
import type { ResponseSizes } from '@hickoryhoist/dispatch/common/responseSizes.js';
import type { EntryVmRecord } from './entryVmRegistry.js';

/**
 * Decides for which requests the size of the response counts when a server is chosen: pooled requests that take long on
 * the links of the deployment. The median of all entry VMs decides, so that they treat a route alike whichever of them
 * gets a request. Load pattern: thousands of requests a second; the median is kept until the set of entry VMs changes.
 */
export class CrossingCost {
  readonly #sizes: ResponseSizes;
  readonly #entryVms: () => readonly EntryVmRecord[];
  #measuredEntryVms: readonly EntryVmRecord[] | undefined;
  #costlyBytes = Number.POSITIVE_INFINITY;

  constructor(sizes: ResponseSizes, entryVms: () => readonly EntryVmRecord[]) {
    this.#sizes = sizes;
    this.#entryVms = entryVms;
  }

  /** @returns the expected bytes of the response; undefined if they do not matter to the choice of the server. */
  responseBytes({
    isKeyed,
    route,
    body,
  }: Pick<CallerRequest, 'isKeyed' | 'route' | 'body'>): number | undefined {
    if (isKeyed) {
      return undefined;
    }
    const bytes = this.#sizes.expectedBytes(route.name);
    return bytes > 0 && bytes + body.length >= this.#limit() ? bytes : undefined;
  }

  #limit(): number {
    const current = this.#entryVms();
    if (current !== this.#measuredEntryVms) {
      this.#measuredEntryVms = current;
      const links = current.map(({ linkMegabitsPerSecond }) => linkMegabitsPerSecond);
      const median = links.sort((left, right) => left - right)[Math.floor(links.length / 2)];
      this.#costlyBytes = median === undefined ? Number.POSITIVE_INFINITY : costlyBytes(median);
    }
    return this.#costlyBytes;
  }
}
