/** Result of one test file. */
export interface TestFileReport {
  readonly file: string;
  readonly passed: number;
  /** Names of the failed tests. */
  readonly failed: readonly string[];
  /** The file crashed, contains no test or printed an incomplete summary. */
  readonly isBroken: boolean;
  readonly output: string;
}

const ESCAPE_SEQUENCE = new RegExp(`${String.fromCharCode(27)}\\[[0-9;]*m`, 'g');

/** Parses the output of the test library for one file. */
export function parseTestOutput(file: string, exitCode: number, rawOutput: string): TestFileReport {
  const output = rawOutput.replace(ESCAPE_SEQUENCE, '');
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? '0');
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? '0');
  const failed = [...output.matchAll(/^\s*FAIL\s+.*?"(.+)"\s*$/gm)].map((match) => match[1] ?? '');
  const isBroken = total === 0 || passed + failed.length !== total || (exitCode !== 0 && failed.length === 0);
  return { file, passed, failed, isBroken, output };
}

/** Returns the names of the known failing tests in KNOWN-RED.txt, one per `test:` line. */
export function parseKnownFailures(text: string): readonly string[] {
  return [...text.matchAll(/^test:\s*(.+?)\s*$/gm)].map((match) => match[1] ?? '');
}

/** How the tests of a copy with a disabled mechanism ended. */
export type MutationResult = 'caught' | 'missed' | 'no-test-ran';

/**
 * Judges the output of a test run with a disabled mechanism. A run that ended before its tests detected nothing.
 */
export function judgeMutation(output: string): MutationResult {
  const summary = /^(\d+) passed, (\d+) failed$/m.exec(output);
  const passed = Number(summary?.[1] ?? '0');
  const failed = Number(summary?.[2] ?? '0');
  const hasFailedTest = /^\s*FAIL\s+.*"(.+)"\s*$/m.test(output);
  if (hasFailedTest && failed > 0) {
    return 'caught';
  }
  return passed > 0 && failed === 0 ? 'missed' : 'no-test-ran';
}
