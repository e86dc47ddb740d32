import { randomUUID } from 'node:crypto';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { diffAssignments } from '@hickoryhoist/protocol/common/assignmentDelta.js';
import {
  AssignerMessage,
  FollowerReport,
  WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { Point } from './linearFit.js';

/** An entry VM with addresses of usual length. */
export function sampleEntryVm(index: number): EntryVm {
  return {
    id: `entry-vm-${index.toString()}`,
    incarnation: randomUUID(),
    controlAddress: '10.100.100.100:8082',
    requestAddress: '10.100.100.100:8081',
    availabilityZone: 'hr-1',
  };
}

function sampleServer(index: number): ServerRecord {
  return {
    number: index + 1,
    address: `10.100.${Math.floor(index / 250).toString()}.${(index % 250).toString()}:8080`,
    availabilityZone: 'hr-1',
    incarnation: randomUUID(),
    fenceSupport: 'checked',
    phase: 'serving',
    epoch: 1,
    renewerFence: 1,
    renewers: [sampleEntryVm(1), sampleEntryVm(2)],
    possibleRenewers: [],
  };
}

/** An assignment of a given size, with slices dealt out in turn. */
export function sampleAssignment(servers: number, slices: number): Assignment {
  return {
    group: 'catalogue',
    revision: 1_000,
    term: 3,
    owners: Array.from({ length: slices }, (_unused, slice) => (slice % servers) + 1),
    servers: Array.from({ length: servers }, (_unused, index) => sampleServer(index)),
    releases: [],
    pins: [],
    writeId: randomUUID(),
  };
}

/** The same assignment one revision later, with the first slices moved. */
export function withMoves(assignment: Assignment, moves: number): Assignment {
  const owners = assignment.owners.map((owner, slice) =>
    slice < moves ? (owner % assignment.servers.length) + 1 : owner,
  );
  return { ...assignment, owners, revision: assignment.revision + 1 };
}

function messageBytes(body: AssignerMessage['body']): number {
  const message = { term: 3, isStoreReachable: true, isRefused: false, refusedFingerprints: [], body };
  return AssignerMessage.encode(message).finish().length;
}

/** Bytes of a follower's report against the number of servers that it renews. */
export function reportBytes(sizes: readonly number[]): readonly Point[] {
  return sizes.map((size) => {
    const servers = Array.from({ length: size }, (_unused, index) => ({
      address: sampleServer(index).address,
      renewerFence: 1_000,
      silentMilliseconds: 120,
      incarnation: randomUUID(),
      isLeaving: false,
      settledRevision: 0,
    }));
    const report = {
      group: 'catalogue',
      entryVm: sampleEntryVm(1),
      appliedRevision: 1_000,
      configurationRevision: 100,
      isLeaving: false,
      servers,
      load: undefined,
      crashSuspects: [],
    };
    return { size, cost: FollowerReport.encode(report).finish().length };
  });
}

export function heartbeatBytes(): number {
  return messageBytes(undefined);
}

export function withdrawBytes(): number {
  const request = { group: 'catalogue', serverAddress: sampleServer(1).address, renewerFence: 1_000 };
  return WithdrawRequest.encode(request).finish().length;
}

/** Bytes of a full assignment against the number of slices, for a fixed number of servers. */
export function assignmentBytes(servers: number, sizes: readonly number[]): readonly Point[] {
  return sizes.map((size) => ({
    size,
    cost: messageBytes({ $case: 'assignment', value: sampleAssignment(servers, size) }),
  }));
}

/** Bytes of a delta against the number of moved slices. */
export function deltaBytes(sizes: readonly number[]): readonly Point[] {
  const base = sampleAssignment(100, 4_096);
  return sizes.map((size) => ({
    size,
    cost: messageBytes({ $case: 'delta', value: diffAssignments(base, withMoves(base, size)) }),
  }));
}
