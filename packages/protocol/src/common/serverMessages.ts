import * as z from 'zod';

/** Path of the ownership interface on a server that checks fences. */
export const OWNERSHIP_PATH = '/.well-known/hickoryhoist/ownership';

/** Schema of a command to a server. Commands are idempotent, and a server rejects one that is older than its state. */
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
    /** Hashes of pinned keys that the server owns in addition to its slices. */
    pins: z.array(z.string()),
    /** Hashes of pinned keys in these slices that the server does not own. */
    excludedKeys: z.array(z.string()),
  }),
]);

/** Command to a server that checks fences. */
export type OwnershipCommand = z.output<typeof ownershipCommandSchema>;

/** Grant of all slices and pins that a server owns. */
export type OwnershipGrant = Extract<OwnershipCommand, { kind: 'grant' }>;

/** Renewal of a server's lease. */
export type LeaseRenewal = Extract<OwnershipCommand, { kind: 'renew' }>;

/** Schema of the response to a command: the server's state after the command. */
export const ownershipStateSchema = z.object({
  accepted: z.boolean(),
  incarnation: z.string(),
  /** Monotonic clock of the server, in milliseconds. */
  clockMilliseconds: z.number(),
  epoch: z.number().int(),
  revision: z.number().int(),
  renewerFence: z.number().int(),
  /** Hashes of keys that the newest grant no longer contains and that still have requests in flight. */
  drainingKeys: z.array(z.string()),
  isLeaving: z.boolean(),
});

/** Ownership state that a server reports. */
export type OwnershipState = z.output<typeof ownershipStateSchema>;
