import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { ResponseHeaders } from './requestOutcome.js';

/** A caller's request, read in full and matched to its service. */
export interface CallerRequest {
  readonly id: string;
  readonly service: ServiceFile;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly headers: ResponseHeaders;
  readonly body: Buffer;
  /** Key that determines the owning server; undefined for a pooled service. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly isIdempotent: boolean;
  /** Deadline on the monotonic clock (`performance.now`), in milliseconds. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects, unless the request is non-idempotent. */
  readonly signal: AbortSignal;
}

/** Time until the request's deadline; zero or less after it. */
export function remainingMilliseconds(request: CallerRequest): number {
  return request.deadlineAt - performance.now();
}
