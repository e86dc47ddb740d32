import { readFileSync } from 'node:fs';

const MILLISECONDS_PER_CLOCK_TICK = 10;
/** Indexes of user and system time in `/proc/PID/stat`, counted after the process name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Returns the CPU time that another process has used, in milliseconds. */
export function processorMilliseconds(processId: number): number {
  const text = readFileSync(`/proc/${processId.toString()}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * MILLISECONDS_PER_CLOCK_TICK;
}

/** Returns the resident memory of another process, in megabytes. */
export function residentMegabytes(processId: number): number {
  const text = readFileSync(`/proc/${processId.toString()}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? '0') / 1_024;
}

/** Measures the mean CPU time of an operation in this process after one warm-up run, in microseconds. */
export function measureMicrosecondsPerRun(runs: number, operation: () => void): number {
  operation();
  const before = process.cpuUsage();
  for (let run = 0; run < runs; run += 1) {
    operation();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / runs;
}

/** Measures the CPU time of this process while an asynchronous operation runs, in milliseconds. */
export async function measureProcessorMilliseconds(operation: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await operation();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}
