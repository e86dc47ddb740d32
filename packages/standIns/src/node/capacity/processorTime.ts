import { readFileSync } from 'node:fs';

const MILLISECONDS_PER_TICK = 10;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Processor time that another process has used, in milliseconds. */
export function processorMilliseconds(processId: number): number {
  const text = readFileSync(`/proc/${processId.toString()}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MILLISECONDS_PER_TICK;
}

/** Resident memory of another process, in megabytes. */
export function residentMegabytes(processId: number): number {
  const text = readFileSync(`/proc/${processId.toString()}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? '0') / 1_024;
}

/** Processor time of this process that an operation uses, in microseconds for each run. */
export function microsecondsPerRun(runs: number, operation: () => void): number {
  operation();
  const before = process.cpuUsage();
  for (let run = 0; run < runs; run += 1) {
    operation();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / runs;
}

/** Processor time of this process while an asynchronous operation runs, in milliseconds. */
export async function ownMilliseconds(operation: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await operation();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}
