import type { ColdStartLimits } from '@hickoryhoist/routing/common/routeConfiguration.js';

/** Time in which the bound of a server doubles once its warm-up time is over, in milliseconds. */
const DOUBLING_MILLISECONDS = 1_000;

/**
 * Requests per second of which a server may be given the keys after it started cold. Load pattern: many servers return
 * at once, have no keys yet and are therefore first to receive some.
 * @param milliseconds time since the server became cold.
 * @returns undefined once the server bears its full rate.
 */
export function coldServerKeyBound(
  { warmupMilliseconds, requestsPerSecond }: ColdStartLimits,
  milliseconds: number,
  fullRequestsPerSecond: number,
): number | undefined {
  const doublings = Math.max(0, Math.floor((milliseconds - warmupMilliseconds) / DOUBLING_MILLISECONDS));
  const bound = requestsPerSecond * 2 ** doublings;
  // The rate of a cold server can be estimated at less than it bears.
  return doublings === 0 || bound < fullRequestsPerSecond ? bound : undefined;
}
