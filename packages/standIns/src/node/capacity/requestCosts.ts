import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { Point } from '../../common/capacity/linearFit.js';
import { ProcessRig, readStatus, waitUntil } from '../processRig.js';
import { processorMilliseconds } from './processorTime.js';

const CONCURRENCY = 16;
const SERVERS = 4;
const WARM_UP_REQUESTS = 3_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** CPU time, throughput and latency of requests through one entry VM. */
export interface RequestCosts {
  /** CPU time of the entry VM by number of requests, in milliseconds. */
  readonly points: readonly Point[];
  readonly requestsPerSecond: number;
  /** Latency of requests sent directly to the servers, in microseconds. */
  readonly directLatency: Histogram;
  /** Latency of requests sent through the entry VM, in microseconds. */
  readonly entryVmLatency: Histogram;
}

/** Measures requests through one entry VM, and for comparison requests sent directly to the same servers. */
export async function measureRequests(sizes: readonly number[]): Promise<RequestCosts> {
  const rig = new ProcessRig();
  try {
    const platform = await rig.startPlatform();
    const behaviour = { serviceMilliseconds: 1, slots: 64, queueLength: 256 };
    const servers = [];
    for (let index = 0; index < SERVERS; index += 1) {
      servers.push(await rig.startServer(behaviour));
    }
    const file = {
      kind: 'pooled',
      name: 'look-up',
      pathPrefix: '/look-up',
      slotsPerServer: 64,
      servers: servers.map(({ address }) => ({ address, availabilityZone: 'a' })),
    };
    writeFileSync(join(rig.directory, 'look-up.hickoryhoist.json'), JSON.stringify(file));
    await rig.runCommand(['publish', rig.directory, '--platform', platform.address]);
    const settings = { id: 'entry-vm', availabilityZone: 'a', platformAddress: platform.address };
    const entryVm = await rig.startEntryVm(settings);
    await waitUntil('the entry VM serves', async () => {
      const groups = (await readStatus(entryVm))?.groups ?? [];
      return groups.some(({ group, servers: known }) => group === 'look-up' && known.length === SERVERS);
    });
    const processId = entryVm.child.pid ?? 0;
    await sendRequests([entryVm.address], WARM_UP_REQUESTS);
    await sendRequests(
      servers.map(({ address }) => address),
      WARM_UP_REQUESTS,
    );
    const points: Point[] = [];
    const entryVmLatency = build();
    let elapsed = 0;
    for (const size of sizes) {
      const before = processorMilliseconds(processId);
      const startedAt = performance.now();
      entryVmLatency.add(await sendRequests([entryVm.address], size));
      elapsed += performance.now() - startedAt;
      points.push({ size, cost: processorMilliseconds(processId) - before });
    }
    const total = sizes.reduce((sum, size) => sum + size, 0);
    const directLatency = await sendRequests(
      servers.map(({ address }) => address),
      total,
    );
    return {
      points,
      requestsPerSecond: (total * 1_000) / elapsed,
      directLatency,
      entryVmLatency,
    };
  } finally {
    rig.dispose();
  }
}

async function sendRequests(addresses: readonly string[], count: number): Promise<Histogram> {
  const pools = addresses.map((address) => new Pool(`http://${address}`, { connections: CONCURRENCY }));
  const latency = build();
  let sent = 0;
  const sendNext = async (): Promise<void> => {
    while (sent < count) {
      sent += 1;
      const pool = pools[sent % pools.length];
      const startedAt = performance.now();
      const response = await pool?.request({ method: 'GET', path: `/look-up/${sent.toString()}` });
      await response?.body.dump();
      latency.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendNext));
  await Promise.all(pools.map((pool) => pool.close()));
  return latency;
}
