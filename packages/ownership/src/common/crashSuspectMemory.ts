import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

/** For how long the suspects of a process that no longer reports count. */
const RETENTION_MILLISECONDS = 600_000;

interface ReportedSuspects {
  readonly suspects: readonly CrashSuspect[];
  readonly at: number;
}

/**
 * The newest suspects of each process that has reported some. Load pattern: a request that crashes servers comes again
 * after one of the processes that counted its crashes has ended or stopped reporting. A process withdraws its suspects
 * itself, by a report without them.
 */
export class CrashSuspectMemory {
  readonly #byProcess = new Map<string, ReportedSuspects>();

  /** Records the report of a process. @returns whether it has suspects now or had some before. */
  record({ id, incarnation }: EntryVm, suspects: readonly CrashSuspect[]): boolean {
    const now = performance.now();
    for (const [process, { at }] of this.#byProcess) {
      if (now - at >= RETENTION_MILLISECONDS) {
        this.#byProcess.delete(process);
      }
    }
    const process = `${id}/${incarnation}`;
    const hadSuspects = this.#byProcess.delete(process);
    if (suspects.length > 0) {
      this.#byProcess.set(process, { suspects, at: now });
    }
    return hadSuspects || suspects.length > 0;
  }

  /** The suspects of each process. */
  all(): readonly (readonly CrashSuspect[])[] {
    return [...this.#byProcess.values()].map(({ suspects }) => suspects);
  }
}
