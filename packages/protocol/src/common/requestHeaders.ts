/** Headers between callers, entry VMs and servers. */
export const headerNames = {
  /** Identifies one request; a server echoes it. */
  requestId: 'hickoryhoist-request-id',
  /** Milliseconds that are left for the request. */
  deadline: 'hickoryhoist-deadline-milliseconds',
  /** Identifies the work across resends by the caller. */
  idempotencyKey: 'idempotency-key',
  /** `answered`, `not-run` or `unknown`. */
  outcome: 'hickoryhoist-outcome',
  /** Why a request was not run or its outcome is unknown. */
  reason: 'hickoryhoist-reason',
  /** Hash of the key that a request is about. */
  keyHash: 'hickoryhoist-key-hash',
  /** Epoch of the server that the sender believes in. */
  epoch: 'hickoryhoist-epoch',
  /** Set by a server that refused a request without running it: `not-owner`, `shed` or `leaving`. */
  refusal: 'hickoryhoist-refusal',
  /** Set by an entry VM that hands a request over to the entry VM that owns its idempotency key. */
  handedOver: 'hickoryhoist-handed-over',
} as const;

/** Status of a server's answer that carries a refusal. */
export const REFUSAL_STATUS = 421;

/** Why a server refused a request without running it. */
export type ServerRefusal = 'not-owner' | 'shed' | 'leaving';

/** Reads a refusal header; any other text is no proof that the request was not run. */
export function parseRefusal(text: string | undefined): ServerRefusal | undefined {
  return text === 'not-owner' || text === 'shed' || text === 'leaving' ? text : undefined;
}
