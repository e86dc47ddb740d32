import type { KeyedService } from '@hickoryhoist/configuration/common/serviceFile.js';
import { defaultLoadBalanceOptions, type LoadBalanceOptions } from './loadBalancePolicy.js';

const SMALLEST_WEIGHT = 0.1;

/**
 * Translates the weights of a service file into limits of the balancer. Weight on imbalance starts moves
 * earlier and allows more of them; weight on churn and on unavailable time does the opposite.
 */
export function balanceOptionsFor(weights: KeyedService['weights']): LoadBalanceOptions {
  const calm = Math.max(SMALLEST_WEIGHT, (weights.churn + weights.unavailableTime) / 2);
  const tolerance = calm / Math.max(SMALLEST_WEIGHT, weights.imbalance);
  const { startRatio, leastGain, movesPerInterval } = defaultLoadBalanceOptions;
  return {
    ...defaultLoadBalanceOptions,
    startRatio: 1 + (startRatio - 1) * tolerance,
    leastGain: leastGain * tolerance,
    movesPerInterval: Math.max(1, Math.round(movesPerInterval / tolerance)),
  };
}
