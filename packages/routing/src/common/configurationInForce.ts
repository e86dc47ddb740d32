import * as z from 'zod';
import type { ServerCounts } from './routeConfigurationCheck.js';

/** Path of the version in force on an operator port. */
export const CONFIGURATION_PATH = '/configuration';

/** Schema of the version in force, as an entry VM returns it on its operator port. */
export const configurationInForceSchema = z.object({
  /** Text of the configuration as the operator wrote it. */
  document: z.string(),
  /** Number of servers of each service that this entry VM may send requests to; absent if it does not know them. */
  servers: z.array(z.object({ service: z.string(), count: z.int().min(0) })).optional(),
});

/** The version in force on one entry VM. */
export type ConfigurationInForce = z.output<typeof configurationInForceSchema>;

export function serverCountsOf({ servers }: ConfigurationInForce): ServerCounts | undefined {
  return servers && new Map(servers.map(({ service, count }) => [service, count]));
}
