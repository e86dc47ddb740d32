import { binary, command, number, option, run, string, subcommands } from 'cmd-ts';
import { type ServerBehaviour, serverBehaviourSchema } from '../common/serverBehaviour.js';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { PlatformStandIn } from './platformStandIn.js';
import { ServerStandIn } from './serverStandIn.js';

const hostOption = option({ type: string, long: 'host', defaultValue: () => '127.0.0.1' });
const portOption = option({ type: number, long: 'port' });

const platformCommand = command({
  name: 'platform',
  description: 'Stand-in for the table service, the object store and the VM list',
  args: { host: hostOption, port: portOption },
  handler: async ({ host, port }) => {
    await new PlatformStandIn().listen(host, port);
  },
});

const serverCommand = command({
  name: 'server',
  description: 'Stand-in for a backend server of a keyed service',
  args: {
    host: hostOption,
    port: portOption,
    behaviour: option({ type: string, long: 'behaviour', description: 'JSON', defaultValue: () => '{}' }),
  },
  handler: async ({ host, port, behaviour }) => {
    const validated: ServerBehaviour = parseDocument('--behaviour', serverBehaviourSchema, behaviour);
    await new ServerStandIn(validated).listen(host, port);
  },
});

run(
  binary(subcommands({ name: 'stand-in', cmds: { platform: platformCommand, server: serverCommand } })),
  process.argv,
).catch((error: unknown) => {
  process.stderr.write(`stand-in: ${String(error)}\n`);
  process.exitCode = 1;
});
