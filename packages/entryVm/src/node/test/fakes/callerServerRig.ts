import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { MemoryBudget } from '@hickoryhoist/connection/common/memoryBudget.js';
import type { Route } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { RouteTable } from '@hickoryhoist/routing/common/routeTable.js';
import { findFreePort } from '@hickoryhoist/standIns/node/freePort.js';
import { CallerServer, type CallerServerOptions } from '../../callerServer.js';

/** Routes with a single one, to a pooled service. */
export function singleRoute(
  route: Pick<Route, 'name' | 'pathPrefix' | 'timeoutMilliseconds'>,
  service: string,
  maxBodyBytes: number,
): RouteTable {
  return new RouteTable({
    revision: 1,
    routes: [
      {
        ...route,
        host: 'library.example',
        kind: 'at-most-once',
        goalMilliseconds: 500,
        rank: 0,
        maxAttempts: 1,
        services: [{ service, weight: 1 }],
      },
    ],
    services: new Map([[service, { name: service, kind: 'pooled', connectionsPerServer: 10 }]]),
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 5_000,
    },
  });
}

/** Starts a server for callers on a free port. */
export async function startCallerServer(
  options: Pick<CallerServerOptions, 'routes' | 'dispatch'> & Partial<CallerServerOptions>,
): Promise<{ readonly server: CallerServer; readonly port: number }> {
  const server = new CallerServer({
    protocol: {
      requestIdHeader: 'x-id',
      timeoutHeader: 'x-timeout',
      keyHeader: 'x-key',
      strippedHeaders: [],
      readinessPath: '/ready',
    },
    onDidComplete: () => undefined,
    memory: new MemoryBudget(Number.POSITIVE_INFINITY),
    logger: silentLogger,
    ...options,
  });
  const port = await findFreePort();
  await server.listen(`127.0.0.1:${port.toString()}`);
  return { server, port };
}
