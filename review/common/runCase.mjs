import { join } from 'node:path';
import { CannotRunError, Record } from './record.mjs';

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param run gets the record, whether there is a disruption, and a list of functions that end what was started. It
 * returns the ways in which the rule was broken.
 */
export async function runCase(folder, run) {
  const record = new Record(join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  const cleanups = [];
  let status = 2;
  try {
    record.write(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
    const broken = await run({ record, hasTrouble, cleanups });
    status = broken.length > 0 ? 1 : 0;
    for (const line of broken.length > 0 ? broken : ['the rule held']) {
      record.write('RESULT', line);
      process.stdout.write(`${line}\n`);
    }
  } catch (error) {
    const text = error instanceof CannotRunError ? error.message : String(error.stack);
    record.write('RESULT the case could not run:', text);
    process.stderr.write(`${text}\n`);
  }
  for (const cleanup of cleanups.reverse()) {
    await cleanup();
  }
  process.exit(status);
}
