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
  /** Key of a keyed service. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly isIdempotent: boolean;
  /** End of the request's time on the runtime's monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

/** Milliseconds that are left for a request; zero or less when its time is over. */
export function remainingMilliseconds(request: CallerRequest): number {
  return request.deadlineAt - performance.now();
}
