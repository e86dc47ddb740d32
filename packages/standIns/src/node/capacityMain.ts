import { describeFit } from '../common/capacity/linearFit.js';
import {
  assignmentBytes,
  deltaBytes,
  heartbeatBytes,
  reportBytes,
  withdrawRequestBytes,
} from '../common/capacity/messageSizes.js';
import {
  assignmentHeap,
  deltaCosts,
  ledgerHeap,
  plannerCosts,
  renewalCosts,
} from './capacity/controlCosts.js';
import { measureIdleRegion, type RegionCost, regionPoints } from './capacity/regionCosts.js';
import { measureRequests } from './capacity/requestCosts.js';
import { streamCosts } from './capacity/streamCosts.js';
import { ProcessRig } from './processRig.js';

const SLICES = [1_024, 4_096, 16_384] as const;
const SERVERS = [20, 50, 100] as const;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

print('messages');
print(describeFit('follower report', 'bytes', 'renewed server', reportBytes([0, 4, 16])));
print(
  `heartbeat of the assigner: ${heartbeatBytes().toString()} bytes; withdrawal: ${withdrawRequestBytes().toString()} bytes`,
);
print(describeFit('full assignment of 100 servers', 'bytes', 'slice', assignmentBytes(100, SLICES)));
print(
  describeFit(
    'full assignment of 1024 slices',
    'bytes',
    'server',
    SERVERS.map((size) => ({ size, cost: assignmentBytes(size, [1_024])[0]?.cost ?? 0 })),
  ),
);
print(describeFit('delta', 'bytes', 'moved slice', deltaBytes([1, 8, 64])));

print('processor time and memory of control');
print(describeFit('planning step, 1024 slices', 'us', 'server', await plannerCosts(1_024, SERVERS)));
print(describeFit('delta of 8 moves, 100 servers', 'us', 'slice', deltaCosts(100, SLICES)));
print(describeFit('assignment of 100 servers, heap', 'KB', 'slice', await assignmentHeap(100, SLICES)));
print(describeFit('ledger, heap', 'KB', 'entry', await ledgerHeap([10_000, 20_000, 40_000])));
print(
  describeFit('both ends of the streams of followers', 'ms/s', 'follower', await streamCosts([16, 64, 256])),
);
const rig = new ProcessRig();
try {
  print(describeFit('renewals', 'ms/s', 'server', await renewalCosts(rig, [4, 16, 64])));
} finally {
  rig.dispose();
}

print('quiet regions');
const byEntryVms: RegionCost[] = [];
for (const entryVms of [2, 4, 8]) {
  byEntryVms.push(await measureIdleRegion(entryVms, 2));
}
const byServices: RegionCost[] = [];
for (const services of [1, 4, 8]) {
  byServices.push(await measureIdleRegion(3, services));
}
const sizes = [
  ['entry VM', byEntryVms, (region: RegionCost) => region.entryVms],
  ['service', byServices, (region: RegionCost) => region.services],
] as const;
for (const [name, costs, size] of sizes) {
  print(
    describeFit(
      'store calls',
      '1/s',
      name,
      regionPoints(costs, size, (region) => region.storeCallsPerSecond),
    ),
  );
  print(
    describeFit(
      'busiest entry VM',
      'ms/s',
      name,
      regionPoints(costs, size, (region) => region.maxMilliseconds),
    ),
  );
  print(
    describeFit(
      'mean entry VM',
      'ms/s',
      name,
      regionPoints(costs, size, (region) => region.meanMilliseconds),
    ),
  );
  print(
    describeFit(
      'resident memory',
      'MB',
      name,
      regionPoints(costs, size, (region) => region.residentMegabytes),
    ),
  );
}

print('requests');
const requests = await measureRequests([4_000, 8_000, 16_000]);
print(describeFit('gateway', 'ms of processor time', 'request', requests.points));
const p50 =
  requests.entryVmLatency.getValueAtPercentile(50) / requests.directLatency.getValueAtPercentile(50);
const p99 =
  requests.entryVmLatency.getValueAtPercentile(99) / requests.directLatency.getValueAtPercentile(99);
print(
  `through the entry VM ${requests.requestsPerSecond.toFixed(0)} requests/s; latency against direct calls: p50 ${p50.toFixed(2)}, p99 ${p99.toFixed(2)} times`,
);
