/** Headers that callers use and the path that the load balancer checks. Header names are in lower case. */
export interface CallerProtocol {
  /** Request ID, echoed in the response. */
  readonly requestIdHeader: string;
  /** Remaining timeout of the caller in milliseconds. */
  readonly timeoutHeader: string;
  /** Key of a request to a keyed service, which selects the server that owns it. */
  readonly keyHeader: string;
  /** Request headers that are not forwarded because the entry VM sets its own values. */
  readonly strippedHeaders: readonly string[];
  /** Path of the load balancer's readiness check. */
  readonly readinessPath: string;
}
