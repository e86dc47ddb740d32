import { command, oneOf, positional } from 'cmd-ts';
import * as z from 'zod';
import { serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import { entryVmSettingsSchema } from '../../common/entryVmSettings.js';

const schemas = { service: serviceFileSchema, settings: entryVmSettingsSchema } as const;

/** Prints a JSON Schema, with which editors complete and validate files. */
export const schemaCommand = command({
  name: 'schema',
  description: 'Print the JSON Schema of service files or of the settings',
  args: {
    kind: positional({ type: oneOf(['service', 'settings'] as const), displayName: 'service|settings' }),
  },
  handler: ({ kind }) => {
    process.stdout.write(`${JSON.stringify(z.toJSONSchema(schemas[kind], { io: 'input' }), undefined, 2)}\n`);
  },
});
