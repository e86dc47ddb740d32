/** A process that can be elected assigner. */
export interface Candidate {
  readonly id: string;
  readonly incarnation: string;
}

/** The record in the store that names a candidate as the assigner. */
export interface RecordOfCandidate {
  readonly version: number;
  /** When this process read the record first, on the monotonic clock. */
  readonly knownSince: number;
}

/** Reply of another process to the assigner's heartbeat. */
export interface HeartbeatAcknowledgement extends Candidate {
  /** Highest term that the process has seen. */
  readonly term: number;
  /** Time on the assigner's clock at which it sent the acknowledged heartbeat. */
  readonly heartbeatSentAt: number;
  readonly storeSilenceMilliseconds: number;
}
