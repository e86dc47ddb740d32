import { z } from 'zod';

/** Path of the ownership interface on a server that checks fences. */
export const OWNERSHIP_PATH = '/.well-known/hickoryhoist/ownership';

/** Order to a server. Every order is idempotent and is refused when it is older than what the server knows. */
export const ownershipCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('describe') }),
  z.object({
    kind: z.literal('renew'),
    group: z.string(),
    incarnation: z.string(),
    epoch: z.number().int(),
    renewerFence: z.number().int(),
    /** End of the lease on the server's own clock, in milliseconds. */
    validUntilMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('grant'),
    group: z.string(),
    incarnation: z.string(),
    epoch: z.number().int(),
    revision: z.number().int(),
    renewerFence: z.number().int(),
    slices: z.array(z.number().int()),
    sliceCount: z.number().int(),
    /** Hashes of keys that the server owns apart from its slices. */
    pins: z.array(z.string()),
    /** Hashes of keys in its slices that the server does not own. */
    excludedKeys: z.array(z.string()),
  }),
]);

/** Order to a server. */
export type OwnershipCommand = z.output<typeof ownershipCommandSchema>;

/** Grant of everything that a server owns. */
export type OwnershipGrant = Extract<OwnershipCommand, { kind: 'grant' }>;

/** Renewal of a server's lease. */
export type LeaseRenewal = Extract<OwnershipCommand, { kind: 'renew' }>;

/** Answer of a server to any order: what it holds after the order. */
export const ownershipStateSchema = z.object({
  accepted: z.boolean(),
  incarnation: z.string(),
  /** Monotonic clock of the server, in milliseconds. */
  clockMilliseconds: z.number(),
  epoch: z.number().int(),
  revision: z.number().int(),
  renewerFence: z.number().int(),
  /** Hashes of keys that the newest grant took away and that still have requests in flight. */
  drainingKeys: z.array(z.string()),
  isLeaving: z.boolean(),
});

/** What a server says of itself. */
export type OwnershipState = z.output<typeof ownershipStateSchema>;
