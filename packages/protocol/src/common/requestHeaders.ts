/** Names of the headers used between callers, entry VMs and servers. */
export const headerNames = {
  /** Identifier of a request, which the server repeats in its response. */
  requestId: 'hickoryhoist-request-id',
  /** Time until the request's deadline, in milliseconds. */
  deadline: 'hickoryhoist-deadline-milliseconds',
  /** Identifies a request that the caller may resend. */
  idempotencyKey: 'idempotency-key',
  /** Outcome of a request: `answered`, `not-run` or `unknown`. */
  outcome: 'hickoryhoist-outcome',
  /** Reason for the outcome `not-run` or `unknown`. */
  reason: 'hickoryhoist-reason',
  /** Hash of the request's key. */
  keyHash: 'hickoryhoist-key-hash',
  /** Epoch of the server in the assignment that the sender used. */
  epoch: 'hickoryhoist-epoch',
  /** Set by a server that refused a request without running it: `not-owner`, `shed` or `leaving`. */
  refusal: 'hickoryhoist-refusal',
  /** Hash of the idempotency key, set by an entry VM that forwards a request to the owner of the key. */
  handedOver: 'hickoryhoist-handed-over',
} as const;

/** HTTP status of a response with a refusal header: Misdirected Request. */
export const REFUSAL_STATUS = 421;

/** Why a server refused a request without running it. */
export type ServerRefusal = 'not-owner' | 'shed' | 'leaving';

/** Parses a refusal header. Any other text does not prove that the request was not run. */
export function parseRefusal(text: string | undefined): ServerRefusal | undefined {
  return text === 'not-owner' || text === 'shed' || text === 'leaving' ? text : undefined;
}
