import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import type { z } from 'zod';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { entryVmSettingsSchema } from '@hickoryhoist/daemon/common/entryVmSettings.js';
import { type EntryVmStatus, entryVmStatusSchema } from '@hickoryhoist/daemon/common/entryVmStatus.js';
import { callOperatorPort } from '@hickoryhoist/daemon/node/operatorClient.js';
import type { Execution, ServerBehaviour } from '../common/serverBehaviour.js';
import { findFreePort } from './freePort.js';

const HOST = '127.0.0.1';
const POLL_MILLISECONDS = 50;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
/** Callers in tests notice within some polls of the status that an entry VM stops. */
const BALANCER_REACTION_MILLISECONDS = 500;

/** Thrown when a condition doesn't hold within the timeout. */
export class RigTimeoutError extends HickoryhoistError {
  readonly code = 'rig-timeout';
}

/** A process started by a rig. */
export interface RigProcess {
  readonly child: ChildProcess;
  readonly address: string;
  /** Resolves with the exit code when the process has exited, or with undefined when a signal ended it. */
  readonly exited: Promise<number | undefined>;
  /** Script and first argument, for error messages. */
  readonly description: string;
}

/** An entry VM process; `address` is its caller address. */
export interface EntryVmRigProcess extends RigProcess {
  readonly id: string;
  readonly requestAddress: string;
  readonly controlAddress: string;
  readonly operatorAddress: string;
}

/** Starts the parts of the system as separate processes on the loopback interface, for tests and measurements. */
export class ProcessRig implements Disposable {
  readonly #directory = mkdtempSync(join(tmpdir(), 'hickoryhoist-'));
  readonly #processes: RigProcess[] = [];
  /** Settings of entry VMs that a test does not choose itself. */
  readonly #defaults: { readonly logLevel: string; readonly balancerReactionMilliseconds: number };

  constructor(logLevel = 'error') {
    this.#defaults = { logLevel, balancerReactionMilliseconds: BALANCER_REACTION_MILLISECONDS };
  }

  get directory(): string {
    return this.#directory;
  }

  async startPlatform(): Promise<RigProcess> {
    const port = await findFreePort();
    const address = `${HOST}:${port.toString()}`;
    const rigProcess = this.#spawn(
      'standIns/src/node/standInMain.ts',
      ['platform', '--port', port.toString()],
      address,
    );
    await waitUntil('the platform responds', () => isListening(address, '/machines/list'));
    return rigProcess;
  }

  /** @param host address on which the server listens; the rig connects to it on the loopback interface. */
  async startServer(
    behaviour: Partial<ServerBehaviour> = {},
    port?: number,
    host = HOST,
  ): Promise<RigProcess> {
    const serverPort = port ?? (await findFreePort());
    const address = `${HOST}:${serverPort.toString()}`;
    const args = [
      'server',
      '--host',
      host,
      '--port',
      serverPort.toString(),
      '--behaviour',
      JSON.stringify(behaviour),
    ];
    const rigProcess = this.#spawn('standIns/src/node/standInMain.ts', args, address);
    await waitUntil('the server responds', () => isListening(address, '/control/executions'));
    return rigProcess;
  }

  async startEntryVm(
    settings: Omit<
      z.input<typeof entryVmSettingsSchema>,
      'callerAddress' | 'requestAddress' | 'controlAddress' | 'operatorAddress'
    >,
  ): Promise<EntryVmRigProcess> {
    const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
    const [callerAddress, requestAddress, controlAddress, operatorAddress] = ports.map(
      (port) => `${HOST}:${port.toString()}`,
    ) as [string, string, string, string];
    const settingsPath = join(this.#directory, `${settings.id}-${callerAddress.replace(':', '-')}.json`);
    const addresses = { callerAddress, requestAddress, controlAddress, operatorAddress };
    writeFileSync(settingsPath, JSON.stringify({ ...this.#defaults, ...settings, ...addresses }));
    const args = ['serve', '--settings', settingsPath];
    const rigProcess = this.#spawn('daemon/src/node/hickoryhoistMain.ts', args, callerAddress);
    return { ...rigProcess, id: settings.id, requestAddress, controlAddress, operatorAddress };
  }

  /** Runs the command-line tool until it exits. @returns the exit code. */
  runCommand(args: readonly string[]): Promise<number | undefined> {
    return this.#spawn('daemon/src/node/hickoryhoistMain.ts', args, '').exited;
  }

  /** One line for each process started: its address and how it ended, as evidence for a failed test. */
  describeProcesses(): string {
    return this.#processes
      .map(({ description, address, child }) => {
        const state =
          child.exitCode === null && child.signalCode === null
            ? 'running'
            : `exit code ${String(child.exitCode)}, signal ${String(child.signalCode)}`;
        return `${description} ${address} process ${String(child.pid)}: ${state}`;
      })
      .join('\n');
  }

  dispose(): void {
    for (const { child } of this.#processes) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
      }
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }

  #spawn(script: string, args: readonly string[], address: string): RigProcess {
    const path = join(import.meta.dirname, '../../..', script);
    const child = spawn(process.execPath, ['--import', 'tsx', path, ...args], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    const exited = new Promise<number | undefined>((resolve) => {
      child.on('exit', (code) => {
        resolve(code ?? undefined);
      });
    });
    const rigProcess = { child, address, exited, description: `${script} ${args[0] ?? ''}` };
    this.#processes.push(rigProcess);
    return rigProcess;
  }
}

/** Polls until a condition holds. @throws RigTimeoutError */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMilliseconds: number = DEFAULT_TIMEOUT_MILLISECONDS,
): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds;
  while (!(await condition())) {
    if (performance.now() > deadline) {
      throw new RigTimeoutError(`timed out waiting until ${description}`);
    }
    await wait(POLL_MILLISECONDS);
  }
}

/** Reads the status of an entry VM. @returns undefined when it doesn't respond. */
export async function readStatus(entryVm: EntryVmRigProcess): Promise<EntryVmStatus | undefined> {
  try {
    return await callOperatorPort(entryVm.operatorAddress, 'GET', '/status', undefined, entryVmStatusSchema);
  } catch {
    return undefined;
  }
}

/** Waits until an entry VM is ready and a number of groups have a serving server. @throws RigTimeoutError */
export function waitUntilServing(entryVm: EntryVmRigProcess, groupCount: number): Promise<void> {
  return waitUntil(`${entryVm.id} serves`, async () => {
    const status = await readStatus(entryVm);
    const groups = status?.groups.filter(({ servers }) => servers.some(({ phase }) => phase === 'serving'));
    return status?.isReady === true && groups?.length === groupCount;
  });
}

/** Changes the behaviour of a server process. */
export async function setBehaviour(server: RigProcess, change: Partial<ServerBehaviour>): Promise<void> {
  const body = JSON.stringify(change);
  const response = await request(`http://${server.address}/control/behaviour`, { method: 'POST', body });
  await response.body.dump();
}

/** Reads the requests that a server process has executed. */
export async function readExecutions(server: RigProcess): Promise<readonly Execution[]> {
  const response = await request(`http://${server.address}/control/executions`, { method: 'POST' });
  return (await response.body.json()) as readonly Execution[];
}

async function isListening(address: string, path: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}${path}`, { method: 'POST', body: '{}' });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
