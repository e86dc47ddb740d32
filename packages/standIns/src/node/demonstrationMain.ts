import { binary, command, option, run, string } from 'cmd-ts';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { KeyValueLogger } from '@hickoryhoist/base/node/keyValueLogger.js';
import { ConfigurationStore } from '@hickoryhoist/configuration/common/configurationStore.js';
import { Publisher } from '@hickoryhoist/configuration/common/publisher.js';
import { readServiceFiles } from '@hickoryhoist/configuration/node/serviceFileReader.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import { entryVmSettingsSchema } from '@hickoryhoist/daemon/common/entryVmSettings.js';
import { EntryVmProcess } from '@hickoryhoist/daemon/node/entryVmProcess.js';
import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import { ServerStandIn } from './serverStandIn.js';

const demonstration = command({
  name: 'start',
  description: 'Run an entry VM, the platform and the servers of the samples in one process',
  args: {
    directory: option({ type: string, long: 'directory', defaultValue: () => 'samples' }),
    callers: option({ type: string, long: 'callers', defaultValue: () => '127.0.0.1:8080' }),
    log: option({ type: string, long: 'log', defaultValue: () => 'info' }),
  },
  handler: async ({ directory, callers, log }) => {
    const services = await readServiceFiles(directory);
    const platform = new MemoryPlatform();
    const serverStandIns: ServerStandIn[] = [];
    for (const { servers, slotsPerServer } of services) {
      for (const { address } of Array.isArray(servers) ? servers : []) {
        const { host, port } = splitAddress(address);
        const server = new ServerStandIn({ slots: slotsPerServer });
        await server.listen(host, port);
        serverStandIns.push(server);
      }
    }
    const changes = services.map((after) => ({ name: after.name, before: undefined, after }));
    await new Publisher(new ConfigurationStore(platform)).publish({ operator: 'demonstration', changes });
    const settings = entryVmSettingsSchema.parse({
      id: 'entry-vm-1',
      availabilityZone: 'hr-1',
      callerAddress: callers,
      requestAddress: '127.0.0.1:8081',
      controlAddress: '127.0.0.1:8082',
      platformAddress: '127.0.0.1:1',
    });
    const logger = log === 'silent' ? silentLogger : new KeyValueLogger('entry-vm', 'info');
    const entryVm = await EntryVmProcess.start(settings, platform, logger);
    process.stdout.write(`callers: http://${callers}  operators: http://${settings.operatorAddress}\n`);
    const stop = (): void => {
      void entryVm.stop().finally(() => {
        serverStandIns.forEach((server) => {
          server.dispose();
        });
      });
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
  },
});

run(binary(demonstration), process.argv).catch((error: unknown) => {
  process.stderr.write(`start: ${String(error)}\n`);
  process.exitCode = 1;
});
