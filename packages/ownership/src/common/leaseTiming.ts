/** Timing of leases and failure detection, in milliseconds. */
export const leaseTiming = {
  /** Duration of a lease after a renewal, on the server's clock. */
  leaseDurationMilliseconds: 1_000,
  /** Interval between two renewals of a lease by the same renewer. */
  renewalIntervalMilliseconds: 320,
  /** Timeout of one renewal. */
  renewalTimeoutMilliseconds: 400,
  /** Time without a response after which a server is suspected to have failed. */
  suspicionTimeoutMilliseconds: 700,
  /** Interval between two reports of a follower, and between two messages of an assigner to its followers. */
  reportIntervalMilliseconds: 250,
  /** Time without a message after which a follower or an assigner is considered unreachable. */
  peerTimeoutMilliseconds: 700,
  /** Timeout of one call between entry VMs. */
  peerCallTimeoutMilliseconds: 500,
  /** Timeout of one command to a server. */
  commandTimeoutMilliseconds: 500,
  /** Interval between two writes of an assigner's heartbeat row. */
  heartbeatIntervalMilliseconds: 400,
  /** Time without a change of the heartbeat row after which another entry VM may acquire the term. */
  assignerTimeoutMilliseconds: 900,
  /** Delay per rank before a candidate starts to poll the store. */
  candidateRankDelayMilliseconds: 150,
  /** Maximum backoff between two attempts of a candidate while the store does not respond. */
  candidateMaximumBackoffMilliseconds: 4_000,
  /** Interval between two reads of the heartbeat row by a candidate. */
  candidatePollIntervalMilliseconds: 200,
} as const;

/** Maximum ratio between the clock rates of two machines. */
export const CLOCK_DRIFT_FACTOR = 1.02;

/** Time on another machine's clock after which a lease that was renewed just now has certainly expired. */
export const SAFE_EXPIRY_MILLISECONDS = Math.ceil(leaseTiming.leaseDurationMilliseconds * CLOCK_DRIFT_FACTOR);
