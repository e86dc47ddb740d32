import type { LogLevel } from '@hickoryhoist/base/common/logger.js';
import type { ResponseLimits } from '@hickoryhoist/connection/common/responseLimits.js';
import type { ColdStartBound } from '@hickoryhoist/dispatch/common/coldStartLimit.js';
import type { RetryBudgetOptions } from '@hickoryhoist/dispatch/common/retryBudget.js';

/** Settings of an entry VM on a platform. Addresses are `IP:PORT`, times are in milliseconds. */
export interface EntryVmSettings {
  /** Unique among all entry VMs, and unchanged by a restart at the same address. */
  readonly id: string;
  readonly ipAddress: string;
  readonly availabilityZone: string;
  /** Entry VMs with more cores take a larger share of the common work. */
  readonly processorCores: number;
  readonly linkMegabitsPerSecond: number;
  readonly callerAddress: string;
  /** Serves the load balancer's readiness check. */
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  /** UDP port for messages between entry VMs, the same on all of them. */
  readonly peerPort: number;
  readonly storeAddress: string;
  /** Whether the whole system starts for the first time, so that no server holds keys; by default false. */
  readonly isFirstStart?: boolean | undefined;
  /** Time between the stop signal and the time at which the process is killed. */
  readonly stopGraceMilliseconds: number;
  readonly retryBudget: RetryBudgetOptions;
  /** Bound on the requests that a cold server gets; undefined if only its rate is stated. */
  readonly coldStartBound?: ColdStartBound | undefined;
  /** Limits on the responses of servers. */
  readonly responseLimits: ResponseLimits;
  /** Maximum bytes of the bodies of requests and responses that are held for callers; infinite for no limit. */
  readonly maxHeldBodyBytes: number;
  readonly logLevel: LogLevel;
}
