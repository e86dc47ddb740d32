import { command, oneOf, positional } from 'cmd-ts';
import { z } from 'zod';
import { serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import { entryVmSettingsSchema } from '../../common/entryVmSettings.js';

const schemas = { service: serviceFileSchema, settings: entryVmSettingsSchema } as const;

/** Prints the JSON Schema by which editors complete and check files. */
export const schemaCommand = command({
  name: 'schema',
  description: 'Print the JSON Schema of a service file or of the settings',
  args: {
    kind: positional({ type: oneOf(['service', 'settings'] as const), displayName: 'service|settings' }),
  },
  handler: ({ kind }) => {
    process.stdout.write(`${JSON.stringify(z.toJSONSchema(schemas[kind], { io: 'input' }), undefined, 2)}\n`);
  },
});
