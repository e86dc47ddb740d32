import { command, flag, option, string } from 'cmd-ts';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { DrainStore } from '@hickoryhoist/ownership/common/drainStore.js';
import { HttpPlatform } from '@hickoryhoist/store/node/httpPlatform.js';
import { jsonFlag, platformOption, printResult } from './sharedArguments.js';

/** The list of drained servers was not updated because of concurrent changes. */
class DrainContentionError extends HickoryhoistError {
  readonly code = 'drain-contention';
}

/** Takes a server out of service or puts it back. */
export const drainCommand = command({
  name: 'drain',
  description:
    'Move all keys away from a server and send it no new requests; --undo puts it back into service',
  args: {
    platform: platformOption,
    server: option({ type: string, long: 'server', description: 'host:port of the server' }),
    undo: flag({ long: 'undo', description: 'put the server back into service' }),
    json: jsonFlag,
  },
  handler: async ({ platform: address, server, undo, json }) => {
    const platform = new HttpPlatform(address, silentLogger);
    try {
      if (!(await new DrainStore(platform.table).set(server, !undo))) {
        throw new DrainContentionError(`the drain of ${server} was not recorded; try again`);
      }
      printResult(
        json,
        { server, isDrained: !undo },
        `${server} ${undo ? 'is back in service' : 'is draining'}`,
      );
    } finally {
      platform.dispose();
    }
  },
});
