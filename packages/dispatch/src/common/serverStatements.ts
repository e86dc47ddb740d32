/** What a server states about itself in a response, whatever the response is. */
export interface ServerStatements {
  /** The server is about to stop and wants no new requests. It keeps to this until it ends. */
  readonly isLeaving: boolean;
  /** Statements that were not understood and count as not made, for the log. */
  readonly unreadable: readonly string[];
}

/** A response without a statement. */
export const noStatements: ServerStatements = { isLeaving: false, unreadable: [] };
