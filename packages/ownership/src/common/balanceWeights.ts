import type { KeyedService } from '@hickoryhoist/configuration/common/serviceFile.js';
import { defaultLoadBalanceOptions, type LoadBalanceOptions } from './loadBalancePolicy.js';

const MINIMUM_WEIGHT = 0.1;

/**
 * Translates the weights of a service file into options of the balancer. A higher weight of imbalance lowers the
 * threshold for moves and allows more of them; higher weights of churn and unavailable time do the opposite.
 */
export function balanceOptionsFor(weights: KeyedService['weights']): LoadBalanceOptions {
  const moveCost = Math.max(MINIMUM_WEIGHT, (weights.churn + weights.unavailableTime) / 2);
  const tolerance = moveCost / Math.max(MINIMUM_WEIGHT, weights.imbalance);
  const { imbalanceThreshold, minimumGain, movesPerInterval } = defaultLoadBalanceOptions;
  return {
    ...defaultLoadBalanceOptions,
    imbalanceThreshold: 1 + (imbalanceThreshold - 1) * tolerance,
    minimumGain: minimumGain * tolerance,
    movesPerInterval: Math.max(1, Math.round(movesPerInterval / tolerance)),
  };
}
