import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import type { Point } from '../../common/capacity/linearFit.js';
import { PlatformStandIn } from '../platformStandIn.js';
import { type EntryVmRigProcess, ProcessRig, readStatus, waitUntil } from '../processRig.js';
import { processorMilliseconds, residentMegabytes } from './processorTime.js';

const OBSERVED_SECONDS = 8;
const SERVERS_PER_SERVICE = 3;

/** Resource usage of a region without requests. */
export interface RegionCost {
  readonly entryVms: number;
  readonly services: number;
  /** Calls to the platform per second. */
  readonly storeCallsPerSecond: number;
  /** CPU time of the busiest entry VM, in milliseconds per second. */
  readonly maxMilliseconds: number;
  /** Mean CPU time of an entry VM, in milliseconds per second. */
  readonly meanMilliseconds: number;
  /** Mean resident memory of an entry VM, in megabytes. */
  readonly residentMegabytes: number;
}

/** Starts a region as separate processes and measures it while it is idle. */
export async function measureIdleRegion(entryVms: number, services: number): Promise<RegionCost> {
  const rig = new ProcessRig();
  const platform = new PlatformStandIn();
  try {
    const platformAddress = `127.0.0.1:${(await platform.listen('127.0.0.1', 0)).toString()}`;
    await publishServices(rig, platformAddress, services);
    const started: EntryVmRigProcess[] = [];
    for (let index = 0; index < entryVms; index += 1) {
      const id = `entry-vm-${index.toString()}`;
      started.push(
        await rig.startEntryVm({ id, availabilityZone: `zone-${(index % 3).toString()}`, platformAddress }),
      );
    }
    for (const entryVm of started) {
      await waitUntil(`${entryVm.id} serves every group`, async () => {
        const status = await readStatus(entryVm);
        const served = status?.groups.filter(({ servers }) =>
          servers.some(({ phase }) => phase === 'serving'),
        );
        return served?.length === services + 1;
      });
    }
    await wait(4_000);
    return await observe(started, services, platform);
  } finally {
    rig.dispose();
    platform.dispose();
  }
}

async function publishServices(rig: ProcessRig, platformAddress: string, services: number): Promise<void> {
  const servers = [];
  for (let index = 0; index < SERVERS_PER_SERVICE; index += 1) {
    const { address } = await rig.startServer();
    servers.push({ address, availabilityZone: `zone-${index.toString()}` });
  }
  for (let index = 0; index < services; index += 1) {
    const name = `service-${index.toString()}`;
    const file = { kind: 'pooled', name, pathPrefix: `/${name}`, servers };
    writeFileSync(join(rig.directory, `${name}.hickoryhoist.json`), JSON.stringify(file));
  }
  await rig.runCommand(['publish', rig.directory, '--platform', platformAddress]);
}

async function observe(
  entryVms: readonly EntryVmRigProcess[],
  services: number,
  platform: PlatformStandIn,
): Promise<RegionCost> {
  const processIds = entryVms.map(({ child }) => child.pid ?? 0);
  const before = processIds.map(processorMilliseconds);
  const callsBefore = platform.calls;
  await wait(OBSERVED_SECONDS * 1_000);
  const used = processIds.map((processId, index) => processorMilliseconds(processId) - (before[index] ?? 0));
  const perSecond = used.map((milliseconds) => milliseconds / OBSERVED_SECONDS);
  const memory = processIds.map(residentMegabytes);
  return {
    entryVms: entryVms.length,
    services,
    storeCallsPerSecond: (platform.calls - callsBefore) / OBSERVED_SECONDS,
    maxMilliseconds: Math.max(...perSecond),
    meanMilliseconds: perSecond.reduce((sum, value) => sum + value, 0) / perSecond.length,
    residentMegabytes: memory.reduce((sum, value) => sum + value, 0) / memory.length,
  };
}

/** Converts measured regions to points of one cost by one size. */
export function regionPoints(
  costs: readonly RegionCost[],
  size: (cost: RegionCost) => number,
  cost: (cost: RegionCost) => number,
): readonly Point[] {
  return costs.map((region) => ({ size: size(region), cost: cost(region) }));
}
