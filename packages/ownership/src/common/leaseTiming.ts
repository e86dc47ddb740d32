/** Durations of leases and of the detection of losses, in milliseconds. */
export const leaseTiming = {
  /** Time for which a renewal is valid, counted on the server's clock. */
  leaseMilliseconds: 1_000,
  /** Pause between two renewals of the same lease by the same renewer. */
  renewalPauseMilliseconds: 320,
  /** Limit of one renewal. */
  renewalTimeoutMilliseconds: 400,
  /** Silence after which a server is suspected. */
  suspicionMilliseconds: 700,
  /** Pause between two reports of a follower, and the pause between two heartbeats of an assigner. */
  reportPauseMilliseconds: 250,
  /** Silence after which a follower or an assigner counts as lost. */
  peerSilenceMilliseconds: 700,
  /** Limit of one call between entry VMs. */
  peerCallTimeoutMilliseconds: 500,
  /** Limit of one order to a server. */
  orderTimeoutMilliseconds: 500,
  /** Pause between two writes of an assigner's heartbeat row. */
  heartbeatPauseMilliseconds: 400,
  /** Time without change of the heartbeat row after which another entry VM may take over. */
  assignerLapseMilliseconds: 900,
  /** Wait added for each entry VM that stands before a candidate in the order of succession. */
  candidateStepMilliseconds: 150,
  /** Longest pause between two attempts of a candidate while the store does not answer. */
  candidateLongestPauseMilliseconds: 4_000,
  /** Pause between two reads of the heartbeat row by a candidate. */
  candidatePauseMilliseconds: 200,
} as const;

/** Largest difference in rate between the clocks of two machines. */
export const CLOCK_DRIFT_FACTOR = 1.02;

/** Time on a foreign clock after which a lease that was just renewed has surely lapsed. */
export const SAFE_LAPSE_MILLISECONDS = Math.ceil(leaseTiming.leaseMilliseconds * CLOCK_DRIFT_FACTOR);
