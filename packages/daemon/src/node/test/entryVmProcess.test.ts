import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { GatewayListenError } from '@hickoryhoist/gateway/node/gatewayServer.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { entryVmSettingsSchema } from '../../common/entryVmSettings.js';
import { EntryVmProcess } from '../entryVmProcess.js';

const HOST = '127.0.0.1';

async function occupy(port: number): Promise<Server> {
  const server = createServer();
  server.listen(port, HOST);
  await once(server, 'listening');
  return server;
}

describe('EntryVmProcess', () => {
  it('tells nobody that it is ready before callers can connect', async () => {
    const [callerPort, requestPort, controlPort, operatorPort] = await Promise.all([
      findFreePort(),
      findFreePort(),
      findFreePort(),
      findFreePort(),
    ]);
    const occupants = await Promise.all([occupy(callerPort), occupy(operatorPort)]);
    const settings = entryVmSettingsSchema.parse({
      id: 'entry-vm-1',
      availabilityZone: 'hr-1',
      callerAddress: `${HOST}:${callerPort.toString()}`,
      requestAddress: `${HOST}:${requestPort.toString()}`,
      controlAddress: `${HOST}:${controlPort.toString()}`,
      operatorAddress: `${HOST}:${operatorPort.toString()}`,
      platformAddress: `${HOST}:1`,
    });
    try {
      await EntryVmProcess.start(settings, new MemoryPlatform(), silentLogger);
      assert.unreachable('the ports are taken');
    } catch (error) {
      // The first port that cannot be opened is that for callers: the operator port, which tells the load balancer that
      // this entry VM is ready, opens later.
      assert.instance(error, GatewayListenError);
      assert.match(error instanceof Error ? error.message : '', callerPort.toString());
    } finally {
      for (const occupant of occupants) {
        occupant.close();
      }
    }
  });
});
