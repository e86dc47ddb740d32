import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

/** Exchanges information about crash-causing requests with the gateway of this entry VM. */
export interface CrashExchange {
  readonly onDidRecordLoss: Event<void>;
  report(): readonly CrashSuspect[];
  findCrashingRequests(suspects: readonly (readonly CrashSuspect[])[]): readonly string[];
  setRefusedFingerprints(fingerprints: readonly string[]): void;
}
