import type { WeightedService } from './routeConfiguration.js';

interface WeightedEntry {
  readonly service: string;
  readonly weight: number;
  currentWeight: number;
}

/**
 * Smooth weighted round robin. After any number of requests, the count of each service differs from its share
 * by less than one request for each service. A random choice would need thousands of requests for that.
 */
export class WeightedRoundRobin {
  readonly #entries: readonly WeightedEntry[];
  readonly #totalWeight: number;

  constructor(services: readonly WeightedService[]) {
    this.#entries = services.map(({ service, weight }) => ({ service, weight, currentWeight: 0 }));
    this.#totalWeight = services.reduce((sum, { weight }) => sum + weight, 0);
  }

  next(): string | undefined {
    let best: WeightedEntry | undefined;
    for (const entry of this.#entries) {
      entry.currentWeight += entry.weight;
      if (entry.weight > 0 && (best === undefined || entry.currentWeight > best.currentWeight)) {
        best = entry;
      }
    }
    if (best !== undefined) {
      best.currentWeight -= this.#totalWeight;
    }
    return best?.service;
  }
}
