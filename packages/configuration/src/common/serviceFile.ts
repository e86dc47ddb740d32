import * as z from 'zod';

const MAXIMUM_SLICE_COUNT = 65_536;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

const addressSchema = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be an IP address and a port, for example "10.0.0.7:8080"');

const serverListSchema = z
  .array(z.strictObject({ address: addressSchema, availabilityZone: z.string().min(1) }))
  .min(1, 'must name at least one server');

const keySourceSchema = z.discriminatedUnion('in', [
  z.strictObject({ in: z.literal('path'), segment: z.number().int().min(0) }),
  z.strictObject({ in: z.literal('header'), name: z.string().min(1) }),
  z.strictObject({ in: z.literal('query'), name: z.string().min(1) }),
]);

const objectiveSchema = z.strictObject({
  /** Share of requests that must be answered within `withinMilliseconds`. */
  share: z.number().gt(0).lt(1).default(0.99),
  withinMilliseconds: z.number().int().positive().default(1_000),
});

const weightsSchema = z.strictObject({
  imbalance: z.number().min(0).max(10).default(1),
  churn: z.number().min(0).max(10).default(1),
  unavailableTime: z.number().min(0).max(10).default(1),
});

const commonFields = {
  name: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens'),
  pathPrefix: z.string().regex(/^\/[A-Za-z0-9/_-]*[A-Za-z0-9_-]$/, 'must start with "/" and not end with it'),
  servers: z.union([serverListSchema, z.strictObject({ role: z.string().min(1) })]),
  idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST'])).default(['GET', 'HEAD']),
  deadlineMilliseconds: z.number().int().positive().max(MAXIMUM_DEADLINE_MILLISECONDS).default(5_000),
  bodyLimitBytes: z.number().int().positive().default(1_048_576),
  answerLimitBytes: z.number().int().positive().default(8_388_608),
  latencyClass: z.enum(['interactive', 'bulk']).default('interactive'),
  slotsPerServer: z.number().int().positive().default(4),
  connectionsPerServer: z.number().int().positive().default(55),
  objective: objectiveSchema.default(objectiveSchema.parse({})),
};

const keyedSchema = z.strictObject({
  kind: z.literal('keyed'),
  ...commonFields,
  key: keySourceSchema.default({ in: 'path', segment: 0 }),
  sliceCount: z.number().int().min(1).max(MAXIMUM_SLICE_COUNT).default(1_024),
  weights: weightsSchema.default(weightsSchema.parse({})),
});

const pooledSchema = z.strictObject({ kind: z.literal('pooled'), ...commonFields });

/** Schema of a service file, which states how callers reach a service and which servers run it. */
export const serviceFileSchema = z.discriminatedUnion('kind', [keyedSchema, pooledSchema]);

/** A valid service file, with defaults filled in. */
export type ServiceFile = z.output<typeof serviceFileSchema>;

/** A service each of whose keys is owned by one server. */
export type KeyedService = z.output<typeof keyedSchema>;
