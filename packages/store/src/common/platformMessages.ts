import * as z from 'zod';
import { isSocketAddress } from '@hickoryhoist/base/common/networkAddress.js';

// Message bodies of the platform's HTTP interface: `POST /table/read`, `/table/transact`, `/objects/put`,
// `/objects/get` and `/machines/list`.

export const tableRowSchema = z.object({ key: z.string(), version: z.number().int(), value: z.string() });

export const tableReadSchema = z.object({ key: z.string() });

export const transactSchema = z.object({
  operations: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('check'), key: z.string(), expectedVersion: z.number().int() }),
      z.object({
        kind: z.literal('put'),
        key: z.string(),
        expectedVersion: z.number().int(),
        value: z.string(),
      }),
    ]),
  ),
});

export const transactionResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed') }),
  z.object({ kind: z.literal('conflict'), key: z.string(), actualVersion: z.number().int() }),
]);

export const objectPutSchema = z.object({ name: z.string(), content: z.string() });
export const objectGetSchema = z.object({ name: z.string() });
export const objectContentSchema = z.object({ content: z.string().optional() });
export const emptySchema = z.object({});

export const virtualMachineSchema = z.object({
  id: z.string(),
  address: z.string().refine(isSocketAddress, 'must be an IPv4 address and a port'),
  availabilityZone: z.string(),
  role: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** The machines are decoded one by one, so that one that cannot be read does not hide the others. */
export const virtualMachineListSchema = z.object({ machines: z.array(z.unknown()) });
