import type { LogLevel } from '@hickoryhoist/base/common/logger.js';
import type { RetryBudgetOptions } from '@hickoryhoist/dispatch/common/retryBudget.js';

/** Settings of an entry VM on a platform. Addresses are `IP:PORT`, times are in milliseconds. */
export interface EntryVmSettings {
  /** Names this entry VM among all; the same after a restart at the same address. */
  readonly id: string;
  readonly ipAddress: string;
  readonly availabilityZone: string;
  /** Processor of this entry VM in cores; larger ones get more of the shared duties. */
  readonly processorCores: number;
  readonly linkMegabitsPerSecond: number;
  /** Port for callers. */
  readonly callerAddress: string;
  /** Port on which the balancer asks whether callers may be sent here. */
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  /** UDP port of all entry VMs for messages among themselves. */
  readonly peerPort: number;
  readonly storeAddress: string;
  /** Time between the order to stop and the forced end of the process. */
  readonly stopGraceMilliseconds: number;
  readonly retryBudget: RetryBudgetOptions;
  readonly logLevel: LogLevel;
}
