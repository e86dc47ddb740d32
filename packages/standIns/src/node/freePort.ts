import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
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

/** One file for each port in use, with the id of the process that got it. */
const RESERVATIONS = join(tmpdir(), 'hickoryhoist-ports');

let nextOffset = (process.pid * PORT_OFFSET_PER_PROCESS_ID) % (LAST_PORT - FIRST_PORT + 1);

/** Sets the distance from FIRST_PORT at which the next call begins, so that a test can make processes collide. */
export function setNextOffset(offset: number): void {
  nextOffset = offset;
}

/**
 * Finds a port on which no process listens. This process gets another port from each call until the range wraps
 * around. Other processes do not get it while this one runs: a process that is to listen on it takes seconds to start
 * on a busy machine.
 * @throws NoFreePortError
 */
export async function findFreePort(host = '127.0.0.1'): Promise<number> {
  for (let attempt = FIRST_PORT; attempt <= LAST_PORT; attempt += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % (LAST_PORT - FIRST_PORT + 1);
    if (reserve(port)) {
      if (await isFree(host, port)) {
        return port;
      }
      rmSync(reservationOf(port), { force: true });
    }
  }
  throw new NoFreePortError(`${host}: all ports from ${FIRST_PORT.toString()} on are in use`);
}

function reservationOf(port: number): string {
  return join(RESERVATIONS, port.toString());
}

/** @returns whether this process has reserved the port. A reservation of a process that has ended is taken over. */
function reserve(port: number): boolean {
  mkdirSync(RESERVATIONS, { recursive: true });
  const file = reservationOf(port);
  if (isReserved(file)) {
    return false;
  }
  rmSync(file, { force: true });
  try {
    writeFileSync(file, process.pid.toString(), { flag: 'wx' });
    return true;
  } catch {
    // Another process has reserved it in the meantime; the next port is tried.
    return false;
  }
}

function isReserved(file: string): boolean {
  let owner: number;
  try {
    owner = Number(readFileSync(file, 'utf8'));
  } catch {
    // There is no reservation.
    return false;
  }
  return owner !== process.pid && isRunning(owner);
}

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    // No process has this identifier.
    return false;
  }
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
