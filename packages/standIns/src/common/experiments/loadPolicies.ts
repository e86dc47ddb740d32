import type { LoadBalancerOptions } from '@hickoryhoist/gateway/common/loadBalancer.js';

/** Policies for slot sharing and server selection that the load experiment compares. */
export const loadPolicies: Readonly<Record<string, LoadBalancerOptions>> = {
  'full slots at every gateway, random choice': { sharing: 'full', choice: 'random' },
  'full slots at every gateway, shortest expected wait of two': { sharing: 'full', choice: 'two-choices' },
  'one slot at every gateway, shortest expected wait of two': { sharing: 'static', choice: 'two-choices' },
  'share learned from shed replies, shortest expected wait of two': {
    sharing: 'adaptive',
    choice: 'two-choices',
  },
};
