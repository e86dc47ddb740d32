import { InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { PublicationConflictError } from '@hickoryhoist/configuration/common/publisher.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';

/** Exit codes of the command line. */
export const exitCodes = { failure: 1, invalidDocument: 2, conflict: 3, platformUnavailable: 4 } as const;

/** Prints an error for the operator. @returns the exit code for its class. */
export function commandErrorExitCode(error: unknown): number {
  process.stderr.write(`hickoryhoist: ${describeError(error)}\n`);
  if (error instanceof InvalidDocumentError) {
    return exitCodes.invalidDocument;
  }
  if (error instanceof PublicationConflictError) {
    return exitCodes.conflict;
  }
  return error instanceof PlatformUnavailableError ? exitCodes.platformUnavailable : exitCodes.failure;
}
