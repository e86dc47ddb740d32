import type { Event } from '@hickoryhoist/base/common/emitter.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

/** Exchange with the gateway about requests that crash servers. */
export interface CrashExchange {
  readonly onDidRecordLoss: Event<void>;
  report(): readonly CrashSuspect[];
  findCrashingRequests(suspects: readonly (readonly CrashSuspect[])[]): readonly string[];
  setRefusedFingerprints(fingerprints: readonly string[]): void;
}
