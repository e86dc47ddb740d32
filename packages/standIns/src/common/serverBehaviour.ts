import * as z from 'zod';

/** Behaviour of a server stand-in. It can be changed at run time with `/control/behaviour`. */
export const serverBehaviourSchema = z.strictObject({
  /** Whether the server accepts ownership commands and refuses requests on keys that it doesn't own. */
  checksFences: z.boolean().default(true),
  slots: z.number().int().positive().default(4),
  /** Maximum number of requests that wait for a slot; further requests are shed. */
  queueLength: z.number().int().min(0).default(8),
  serviceMilliseconds: z.number().min(0).default(2),
  /** Time after the start during which requests take ten times as long, in milliseconds. */
  coldStartMilliseconds: z.number().min(0).default(0),
  isLeaving: z.boolean().default(false),
  /** Requests and ownership commands are accepted, but wait without a response until this is false again. */
  isFrozen: z.boolean().default(false),
  /** The process exits on a request whose body contains this text; an empty text disables this. */
  crashText: z.string().default(''),
  /** Number of next responses that are truncated in the middle. */
  truncatedAnswers: z.number().int().min(0).default(0),
  /** Number of next requests that are run, but whose connection is closed without a response. */
  lostAnswers: z.number().int().min(0).default(0),
  /** Number of next responses that carry a wrong request id. */
  crossedAnswers: z.number().int().min(0).default(0),
});

/** Behaviour of a server stand-in with all defaults filled in. */
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
