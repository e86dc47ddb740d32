import { z } from 'zod';

/** How a server stand-in behaves; its control path changes it while it runs. */
export const serverBehaviourSchema = z.strictObject({
  /** Whether the server checks leases and fences. */
  checksFences: z.boolean().default(true),
  slots: z.number().int().positive().default(4),
  /** Requests that wait for a slot before the server sheds. */
  queueLength: z.number().int().min(0).default(8),
  serviceMilliseconds: z.number().min(0).default(2),
  /** Time after the start during which requests take ten times as long. */
  coldStartMilliseconds: z.number().min(0).default(0),
  isLeaving: z.boolean().default(false),
  /** Requests are accepted but nothing is answered, and no order either. */
  isFrozen: z.boolean().default(false),
  /** Body text that makes the process exit when a request carries it. */
  crashText: z.string().default(''),
  /** Number of coming answers that are cut off in the middle. */
  truncatedAnswers: z.number().int().min(0).default(0),
  /** Number of coming requests that are run but whose connection closes without an answer. */
  lostAnswers: z.number().int().min(0).default(0),
  /** Number of coming answers that carry the identifier of another request. */
  crossedAnswers: z.number().int().min(0).default(0),
});

/** How a server stand-in behaves. */
export type ServerBehaviour = z.output<typeof serverBehaviourSchema>;

/** One execution of a request by a server stand-in. */
export interface Execution {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly target: string;
  readonly keyHash: string;
  readonly bodyBytes: number;
}
