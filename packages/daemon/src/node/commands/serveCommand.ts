import { readFile } from 'node:fs/promises';
import { command, option, string } from 'cmd-ts';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { KeyValueLogger } from '@hickoryhoist/base/node/keyValueLogger.js';
import { logProcessErrors } from '@hickoryhoist/base/node/processErrors.js';
import { HttpPlatform } from '@hickoryhoist/store/node/httpPlatform.js';
import { entryVmSettingsSchema } from '../../common/entryVmSettings.js';
import { EntryVmProcess } from '../entryVmProcess.js';

/** Runs the entry VM daemon until SIGTERM or SIGINT. */
export const serveCommand = command({
  name: 'serve',
  description: 'Run the daemon of an entry VM; SIGTERM or SIGINT stops it gracefully',
  args: {
    settings: option({ type: string, long: 'settings', description: 'path of the settings file' }),
  },
  handler: async ({ settings: path }) => {
    const settings = parseDocument(path, entryVmSettingsSchema, await readFile(path, 'utf8'));
    const logger = new KeyValueLogger('entry-vm', settings.logLevel);
    logProcessErrors(logger);
    const platform = new HttpPlatform(settings.platformAddress, logger);
    const entryVm = await EntryVmProcess.start(settings, platform, logger);
    const stop = (): void => {
      void entryVm.stop().finally(() => {
        platform.dispose();
      });
    };
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  },
});
