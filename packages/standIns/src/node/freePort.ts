import { createServer } from 'node:net';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';

/** Thrown when every port of the range is in use. */
export class NoFreePortError extends HickoryhoistError {
  readonly code = 'no-free-port';
}

/**
 * Range of the returned ports. It ends below 32768, the default start of the ephemeral port range of Linux: the
 * kernel may use an ephemeral port for an outgoing connection before the caller listens on it.
 */
export const FIRST_PORT = 20_000;
export const LAST_PORT = 32_000;
/** Distance between the first ports of processes with consecutive ids, so that they rarely try the same ports. */
const PORT_OFFSET_PER_PROCESS_ID = 97;

let nextOffset = (process.pid * PORT_OFFSET_PER_PROCESS_ID) % (LAST_PORT - FIRST_PORT + 1);

/**
 * Finds a port on which no process listens. This process gets another port from each call until the range wraps
 * around.
 * @throws NoFreePortError
 */
export async function findFreePort(host = '127.0.0.1'): Promise<number> {
  for (let attempt = FIRST_PORT; attempt <= LAST_PORT; attempt += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % (LAST_PORT - FIRST_PORT + 1);
    if (await isFree(host, port)) {
      return port;
    }
  }
  throw new NoFreePortError(`${host}: all ports from ${FIRST_PORT.toString()} on are in use`);
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
