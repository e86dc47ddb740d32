import { spawn } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { parseKnownFailures, parseTestOutput, type TestFileReport } from '../common/testReport.js';

const PARALLEL_FILES = 4;
const TEST_SUFFIX = '.test.ts';
/** Test files that start processes; they run one at a time. */
const PROCESS_TEST_SUFFIX = '.process.test.ts';

async function findTests(directory: string): Promise<readonly string[]> {
  const entries = await readdir(directory, { recursive: true });
  return entries
    .filter((entry) => entry.endsWith(TEST_SUFFIX) && !entry.includes('node_modules'))
    .map((entry) => join(directory, entry))
    .sort();
}

function runFile(file: string): Promise<TestFileReport> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--import', 'tsx', file], { stdio: ['ignore', 'pipe', 'pipe'] });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.on('close', (code) => {
      resolve(parseTestOutput(file, code ?? 1, Buffer.concat(chunks).toString('utf8')));
    });
  });
}

async function runAll(files: readonly string[], concurrency: number): Promise<readonly TestFileReport[]> {
  const pending = [...files];
  const reports: TestFileReport[] = [];
  const runPending = async (): Promise<void> => {
    for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
      const report = await runFile(file);
      const hasPassed = !report.isBroken && report.failed.length === 0;
      process.stdout.write(`${hasPassed ? 'ok  ' : 'FAIL'} ${file} (${report.passed.toString()} passed)\n`);
      reports.push(report);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runPending));
  return reports;
}

function printFailures(reports: readonly TestFileReport[], knownFailures: ReadonlySet<string>): number {
  let failureCount = 0;
  for (const { file, failed, isBroken, output } of reports) {
    const unexpectedFailures = failed.filter((name) => !knownFailures.has(name));
    failureCount += unexpectedFailures.length + (isBroken ? 1 : 0);
    if (unexpectedFailures.length > 0 || isBroken) {
      process.stdout.write(`\n--- ${file}\n${output}\n`);
    }
    for (const name of failed.filter((other) => knownFailures.has(other))) {
      process.stdout.write(`known red: ${name} (see KNOWN-RED.txt)\n`);
    }
  }
  return failureCount;
}

const pattern = process.argv[2];
const allFiles = [...(await findTests('packages')), ...(await findTests('platform'))];
const files = pattern === undefined ? allFiles : allFiles.filter((file) => file.includes(pattern));
const processTests = files.filter((file) => file.endsWith(PROCESS_TEST_SUFFIX));
const inProcessTests = files.filter((file) => !file.endsWith(PROCESS_TEST_SUFFIX));
const reports = [...(await runAll(inProcessTests, PARALLEL_FILES)), ...(await runAll(processTests, 1))];
const knownFailures = new Set(
  existsSync('KNOWN-RED.txt') ? parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8')) : [],
);
const failureCount = printFailures(reports, knownFailures);
const passCount = reports.reduce((sum, { passed }) => sum + passed, 0);
process.stdout.write(`\n${passCount.toString()} passed, ${failureCount.toString()} failed\n`);
process.exitCode = failureCount === 0 && passCount > 0 ? 0 : 1;
