import type { CandidateServer } from './keyPlanner.js';

/** Standard deviation of the logarithm of a throughput that is estimated from many samples, between servers as fast. */
const LOG_NOISE = 0.1;
/** Deviation from the median from which a single server surely differs, in standard deviations. */
const SURE_DEVIATIONS = 3;
/** Interquartile range of a normal distribution, in standard deviations. */
const INTERQUARTILE_DEVIATIONS = 1.35;

/**
 * The requests a second that servers are expected to complete, by ID. Load pattern: servers are as fast as each other, and
 * the fastest of many seems much faster by the chance of measured times alone. Measured differences count as far as the
 * servers differ more than equal ones would, or a single one differs beyond doubt.
 */
export function trustedThroughputs(servers: readonly CandidateServer[]): ReadonlyMap<string, number> {
  const logarithms = servers
    .map(({ requestsPerSecond }) => Math.log(requestsPerSecond))
    .sort((left, right) => left - right);
  const median = quantile(logarithms, 0.5);
  const spread = (quantile(logarithms, 0.75) - quantile(logarithms, 0.25)) / INTERQUARTILE_DEVIATIONS;
  const trustInAll = trust(LOG_NOISE, spread);
  return new Map(
    servers.map(({ id, requestsPerSecond }) => {
      const deviation = Math.log(requestsPerSecond) - median;
      const trusted = Math.max(trustInAll, trust(SURE_DEVIATIONS * LOG_NOISE, deviation));
      return [id, Math.exp(median + trusted * deviation)];
    }),
  );
}

/** Part of a deviation that is not noise: from 0 to 1. */
function trust(noise: number, deviation: number): number {
  return deviation === 0 ? 0 : Math.max(0, 1 - (noise / deviation) ** 2);
}

/** Value below which a fraction of a sorted list lies. */
function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;
}
