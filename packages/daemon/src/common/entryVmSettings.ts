import * as z from 'zod';

const ADDRESS_FORMAT_MESSAGE = 'must be an IP address and a port, for example "10.0.0.7:8080"';
const addressSchema = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, ADDRESS_FORMAT_MESSAGE);

/** Schema of the settings of an entry VM daemon. Unknown fields are rejected. */
export const entryVmSettingsSchema = z.strictObject({
  id: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Address and port for callers. */
  callerAddress: addressSchema,
  /** Address and port for requests that other entry VMs forward. */
  requestAddress: addressSchema,
  /** Address and port of the control interface between entry VMs. */
  controlAddress: addressSchema,
  /** Address and port for status and metrics. */
  operatorAddress: addressSchema.default('127.0.0.1:9090'),
  /** Address of the platform's table service, object store and VM list. */
  platformAddress: addressSchema,
  /** Control addresses of other entry VMs, queried for state while the platform's store is unavailable. */
  seedControlAddresses: z.array(addressSchema).default([]),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** Maximum time that a planned stop waits for the transfer of the keys that this entry VM owns. */
  stopGraceMilliseconds: z.number().int().min(0).default(10_000),
  /**
   * Time for which a planned stop keeps the ports open at least, so that the platform's load balancer and the callers
   * notice that this entry VM is not ready.
   */
  balancerReactionMilliseconds: z.number().int().min(0).default(3_000),
});

/** Settings of an entry VM daemon. */
export type EntryVmSettings = z.output<typeof entryVmSettingsSchema>;
