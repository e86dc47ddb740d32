/** Names under which callers and the balancer speak to an entry VM. Header names are in lower case. */
export interface CallerProtocol {
  /** Identifies a request; it is returned with the answer. */
  readonly requestIdHeader: string;
  /** Milliseconds that the caller will still wait. */
  readonly timeoutHeader: string;
  /** Key of a request to a keyed service. */
  readonly keyHeader: string;
  /** Headers that the entry VM writes anew and does not pass on. */
  readonly strippedHeaders: readonly string[];
  /** Path of the balancer's question. */
  readonly readinessPath: string;
}
