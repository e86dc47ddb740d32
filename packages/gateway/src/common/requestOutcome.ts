/** Why a request was not run. Said only with proof that no server ran it. */
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

/** Headers of an answer, in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | readonly string[]>>;

/** What became of a request. Exactly one of these is told to the caller. */
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
      /** Seconds after which a resend makes sense; absent when a resend is pointless. */
      readonly retryAfterSeconds?: number;
    }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason };

/** Status by which the caller learns of an outcome that is not an answer. */
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

/** An outcome that says that no server ran the request and that a resend may succeed. */
export function notRunForNow(reason: NotRunReason): RequestOutcome {
  return { kind: 'not-run', reason, retryAfterSeconds: 1 };
}
