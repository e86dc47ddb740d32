/** Durations of key ownership, in milliseconds. */
export const keyOwnershipTiming = {
  /**
   * Duration of the lease of a range. Short, because the keys of a failed server stay blocked until it expires, but
   * long enough for a new assigner to be elected and to renew all leases, which takes 1 to 2 s.
   */
  leaseMilliseconds: 4_000,
  /** Time between renewals; a lease survives three failed ones. */
  renewalIntervalMilliseconds: 1_000,
  /** Timeout of a grant. A server responds within a few milliseconds, even when busy. */
  grantTimeoutMilliseconds: 400,
  /** Timeout of a release. A server responds once the requests in flight on the keys have ended. */
  releaseTimeoutMilliseconds: 1_500,
  /** Delay before a failed command is retried. */
  retryDelayMilliseconds: 150,
  /** Time without a confirmed renewal after which a server is considered unresponsive. */
  unresponsiveAfterMilliseconds: 1_300,
  /**
   * Time between ticks above which this process is considered to have been paused. Shorter than the time from a missed
   * renewal to `unresponsiveAfterMilliseconds`.
   */
  processPauseMilliseconds: 250,
  /**
   * Duration of the assigner lease after the store last confirmed it. Covers outages of the store, which last 5 to
   * 10 s.
   */
  assignerLeaseMilliseconds: 10_000,
  /** Time between two confirmations of the assigner lease by the store. */
  confirmationIntervalMilliseconds: 2_000,
} as const;

/** Fraction by which a server's clock may run slow. */
export const CLOCK_DRIFT_RATIO = 0.02;
/** Margin for timers and rounding before a lease is considered expired, in milliseconds. */
const EXPIRY_MARGIN_MILLISECONDS = 50;

/** Time after the latest possible arrival of a grant at which its lease has certainly expired, in milliseconds. */
export function expiryMilliseconds(leaseMilliseconds: number): number {
  return leaseMilliseconds * (1 + CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MILLISECONDS;
}
