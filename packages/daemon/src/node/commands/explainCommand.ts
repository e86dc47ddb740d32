import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import { command, positional, restPositionals, string } from 'cmd-ts';
import { explainRequest, formatExplanation, readLog } from '../../common/requestExplanation.js';
import { jsonFlag, printResult } from './sharedArguments.js';

/** Explains how one request ended, from the logs of several entry VMs. */
export const explainCommand = command({
  name: 'explain',
  description:
    'Print the log lines of entry VMs that concern one request, in order, and why it ended as it did',
  args: {
    id: positional({ type: string, displayName: 'request-id' }),
    files: restPositionals({ type: string, displayName: 'log-file', description: 'one for each entry VM' }),
    json: jsonFlag,
  },
  handler: async ({ id, files, json }) => {
    const logs = await Promise.all(
      files.map(async (file) => readLog(basename(file), await readFile(file, 'utf8'))),
    );
    const explanation = explainRequest(id, logs.flat());
    printResult(json, explanation, formatExplanation(explanation));
  },
});
