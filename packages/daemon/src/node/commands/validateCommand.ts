import { command, positional, string } from 'cmd-ts';
import { buildSnapshot } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import { readServiceFiles } from '@hickoryhoist/configuration/node/serviceFileReader.js';
import { jsonFlag, printResult } from './sharedArguments.js';

/** Validates the service files below a directory without publishing them. */
export const validateCommand = command({
  name: 'validate',
  description: 'Validate the service files below a directory',
  args: { directory: positional({ type: string, displayName: 'directory' }), json: jsonFlag },
  handler: async ({ directory, json }) => {
    const { services } = buildSnapshot(await readServiceFiles(directory));
    const names = services.map(({ name }) => name);
    printResult(json, { services: names }, `valid: ${names.join(', ')}`);
  },
});
