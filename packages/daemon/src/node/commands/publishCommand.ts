import { userInfo } from 'node:os';
import { command, multioption, array, option, positional, string } from 'cmd-ts';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { ConfigurationStore } from '@hickoryhoist/configuration/common/configurationStore.js';
import { Publisher, type ServiceChange } from '@hickoryhoist/configuration/common/publisher.js';
import { readServiceFiles } from '@hickoryhoist/configuration/node/serviceFileReader.js';
import { HttpPlatform } from '@hickoryhoist/store/node/httpPlatform.js';
import { jsonFlag, platformOption, printResult } from './sharedArguments.js';

/** Publishes the service files below a directory. */
export const publishCommand = command({
  name: 'publish',
  description: 'Publish the service files below a directory as the active configuration',
  args: {
    directory: positional({ type: string, displayName: 'directory' }),
    platform: platformOption,
    operator: option({
      type: string,
      long: 'operator',
      description: 'name of the operator that publishes',
      defaultValue: () => userInfo().username,
    }),
    remove: multioption({
      type: array(string),
      long: 'remove',
      description: 'name of a service to remove from the configuration',
    }),
    json: jsonFlag,
  },
  handler: async ({ directory, platform: address, operator, remove, json }) => {
    const files = await readServiceFiles(directory);
    const platform = new HttpPlatform(address, silentLogger);
    try {
      const store = new ConfigurationStore(platform);
      const current = await store.readNewest();
      const before = new Map(current?.snapshot.services.map((service) => [service.name, service]));
      const changes: ServiceChange[] = [
        ...files.map((after) => ({ name: after.name, before: before.get(after.name), after })),
        ...remove.map((name) => ({ name, before: before.get(name), after: undefined })),
      ];
      const revision = await new Publisher(store).publish({ operator, changes });
      const services = changes.map(({ name }) => name);
      printResult(
        json,
        { revision, services },
        `revision ${revision.toString()} accepted: ${services.join(', ')}`,
      );
    } finally {
      platform.dispose();
    }
  },
});
