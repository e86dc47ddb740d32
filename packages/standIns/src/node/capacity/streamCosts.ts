import { setTimeout as wait } from 'node:timers/promises';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { Assigner } from '@hickoryhoist/ownership/common/assigner.js';
import { AssignmentPlanner } from '@hickoryhoist/ownership/common/assignmentPlanner.js';
import { AssignmentStore } from '@hickoryhoist/ownership/common/assignmentStore.js';
import { Follower } from '@hickoryhoist/ownership/common/follower.js';
import { LoadBalancePolicy } from '@hickoryhoist/ownership/common/loadBalancePolicy.js';
import type { PeerHandler } from '@hickoryhoist/ownership/common/peerClient.js';
import { ServerUnreachableError } from '@hickoryhoist/ownership/common/serverClient.js';
import { GrpcControlServer } from '@hickoryhoist/ownership/node/grpcControlServer.js';
import { GrpcPeerClient } from '@hickoryhoist/ownership/node/grpcPeerClient.js';
import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import type { Point } from '../../common/capacity/linearFit.js';
import { sampleEntryVm } from '../../common/capacity/messageSizes.js';
import { measureProcessorMilliseconds } from './processorTime.js';

const GROUP = 'streams';
const OBSERVED_SECONDS = 5;

/**
 * CPU time of the assigner and its followers together, which keep one gRPC stream per follower, by number of
 * followers, in milliseconds per second.
 */
export async function streamCosts(sizes: readonly number[]): Promise<readonly Point[]> {
  await measureStreams(Math.max(...sizes));
  const points: Point[] = [];
  for (const size of sizes) {
    points.push({ size, cost: await measureStreams(size) });
  }
  return points;
}

async function measureStreams(size: number): Promise<number> {
  const self = sampleEntryVm(0);
  const store = new AssignmentStore(new MemoryPlatform().table, GROUP);
  const heldTerm = await store.acquireTerm(await store.readTerm(), self);
  if (heldTerm === undefined) {
    throw new ServerUnreachableError('could not acquire the first term in an empty store');
  }
  const peers = new GrpcPeerClient();
  const assigner = new Assigner({
    group: GROUP,
    self,
    sliceCount: 1_024,
    heldTerm,
    store,
    planner: new AssignmentPlanner(await KeyHasher.create(), new LoadBalancePolicy()),
    servers: { send: (address) => Promise.reject(new ServerUnreachableError(address)) },
    peers,
    logger: silentLogger,
    desiredServers: () => [],
    configuration: () => undefined,
    findCrashingRequests: () => [],
  });
  const controlServer = new GrpcControlServer(createPeerHandler(assigner));
  const port = await controlServer.listen('127.0.0.1:0');
  const clients = Array.from({ length: size }, () => new GrpcPeerClient());
  const followers = clients.map((client, index) => startFollower(client, index + 1, port));
  await wait(2_000);
  const cost = await measureProcessorMilliseconds(() => wait(OBSERVED_SECONDS * 1_000));
  [...followers, ...clients, assigner, peers, controlServer].forEach((part) => {
    part.dispose();
  });
  return cost / OBSERVED_SECONDS;
}

function startFollower(peers: GrpcPeerClient, index: number, port: number): Follower {
  const follower = new Follower({
    group: GROUP,
    self: sampleEntryVm(index),
    peers,
    logger: silentLogger,
    reportDetails: () => ({
      configurationRevision: 0,
      isLeaving: false,
      servers: [],
      load: undefined,
      crashSuspects: [],
    }),
  });
  follower.switchAssigner(`127.0.0.1:${port.toString()}`);
  return follower;
}

function createPeerHandler(assigner: Assigner): PeerHandler {
  return {
    acceptFollower: (connection) => assigner.acceptFollower(connection),
    withdraw: () => ({ incarnation: '', lapseMilliseconds: 0 }),
    renewRoutes: () => ({ incarnation: '', isGranted: [] }),
    fetchState: () => ({ configuration: undefined, groups: [], entryVms: [] }),
    confirmLost: () => ({ groups: [] }),
  };
}
