import type { ServerDirectoryOptions } from '@hickoryhoist/gateway/common/serverDirectory.js';

/** Policies for sharing slots and for choosing among pooled servers that the load experiment compares. */
export const loadPolicies: Readonly<Record<string, ServerDirectoryOptions>> = {
  'full slots at every gateway, random choice': { sharing: 'full', choice: 'random' },
  'full slots at every gateway, shortest expected wait of two': { sharing: 'full', choice: 'two-choices' },
  'one slot at every gateway, shortest expected wait of two': { sharing: 'static', choice: 'two-choices' },
  'share learned from shed replies, shortest expected wait of two': {
    sharing: 'adaptive',
    choice: 'two-choices',
  },
};
