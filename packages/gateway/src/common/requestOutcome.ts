/** Why a request was not run. Reported only if it is certain that no server ran it. */
export type NotRunReason =
  | 'unknown-service'
  | 'missing-key'
  | 'malformed-request'
  | 'body-too-large'
  | 'idempotency-key-reused'
  | 'idempotency-key-from-future'
  | 'overloaded'
  | 'no-owner'
  | 'server-unreachable'
  | 'shed'
  | 'deadline'
  | 'crashes-servers'
  | 'not-ready';

/** Why it is not known whether a request was run. */
export type UnknownReason =
  | 'connection-lost'
  | 'deadline'
  | 'answer-damaged'
  | 'answer-too-large'
  | 'idempotency-key-may-predate-ledger'
  | 'idempotency-key-home-unreachable'
  | 'crashed-server';

/** Headers of a response, with names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Outcome of a request, as reported to the caller. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      /** Seconds after which the caller may resend the request; absent if a resend cannot succeed. */
      readonly retryAfterSeconds?: number;
    }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };

/** HTTP status for an outcome without a response of a server. */
export function statusOf(outcome: Exclude<RequestOutcome, { kind: 'answered' }>): number {
  switch (outcome.kind) {
    case 'unknown':
      return 504;
    case 'not-run':
      return notRunStatus[outcome.reason];
  }
}

const notRunStatus: Readonly<Record<NotRunReason, number>> = {
  'unknown-service': 404,
  'missing-key': 400,
  'malformed-request': 400,
  'body-too-large': 413,
  'idempotency-key-reused': 422,
  'idempotency-key-from-future': 400,
  overloaded: 503,
  'no-owner': 503,
  'server-unreachable': 503,
  shed: 503,
  deadline: 503,
  'crashes-servers': 422,
  'not-ready': 503,
};

/** Outcome of a request that no server ran and that may succeed when it is resent. */
export function retryableNotRun(reason: NotRunReason): RequestOutcome {
  return { kind: 'not-run', reason, retryAfterSeconds: 1 };
}
