import * as z from 'zod';

const serverStatusSchema = z.object({
  address: z.string(),
  availabilityZone: z.string(),
  phase: z.string(),
  epoch: z.number(),
  renewerFence: z.number(),
  renewers: z.array(z.string()),
  ownedUnits: z.number(),
  releasing: z.number(),
  /** Entry VMs that must confirm before keys can be transferred. Known only to the assigner. */
  waitingFor: z.array(z.string()),
});

const groupStatusSchema = z.object({
  group: z.string(),
  revision: z.number(),
  term: z.number(),
  assigner: z.string(),
  isAssigner: z.boolean(),
  hearsAssigner: z.boolean(),
  isStoreReachable: z.boolean(),
  pins: z.number(),
  servers: z.array(serverStatusSchema),
});

const serviceStatusSchema = z.object({
  service: z.string(),
  answered: z.number(),
  notRun: z.number(),
  unknown: z.number(),
  good: z.number(),
  objectiveShare: z.number(),
  withinMilliseconds: z.number(),
  windows: z.array(z.object({ minutes: z.number(), total: z.number(), good: z.number() })),
  p50Milliseconds: z.number(),
  p99Milliseconds: z.number(),
  encodedLatency: z.string(),
});

/** Schema of the status that an entry VM serves on its operator port. */
export const entryVmStatusSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  availabilityZone: z.string(),
  isReady: z.boolean(),
  /** Number of callers' requests in flight. */
  inFlight: z.number(),
  configurationRevision: z.number(),
  eventLoopDelayP99Milliseconds: z.number(),
  residentBytes: z.number(),
  groups: z.array(groupStatusSchema),
  services: z.array(serviceStatusSchema),
});

/** Status of one entry VM. */
export type EntryVmStatus = z.output<typeof entryVmStatusSchema>;

/** Status of one group at one entry VM. */
export type GroupStatus = z.output<typeof groupStatusSchema>;
