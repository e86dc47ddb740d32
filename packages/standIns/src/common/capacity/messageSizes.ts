import { randomUUID } from 'node:crypto';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { diffAssignments } from '@hickoryhoist/protocol/common/assignmentDelta.js';
import {
  AssignerMessage,
  FollowerReport,
  WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { Point } from './linearFit.js';

/** Creates an entry VM with addresses of typical length. */
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

/** Creates an assignment of the given size with slices assigned round-robin. */
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

/** Creates the next revision of an assignment, with the first `moves` slices moved to other servers. */
export function withMovedSlices(assignment: Assignment, moves: number): Assignment {
  const owners = assignment.owners.map((owner, slice) =>
    slice < moves ? (owner % assignment.servers.length) + 1 : owner,
  );
  return { ...assignment, owners, revision: assignment.revision + 1 };
}

function messageBytes(body: AssignerMessage['body']): number {
  const message = { term: 3, isStoreReachable: true, isRefused: false, refusedFingerprints: [], body };
  return AssignerMessage.encode(message).finish().length;
}

/** Encoded size of a follower's report by number of renewed servers, in bytes. */
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

/** Encoded size of the assigner's heartbeat, in bytes. */
export function heartbeatBytes(): number {
  return messageBytes(undefined);
}

/** Encoded size of a request to stop renewing the lease of a server, in bytes. */
export function withdrawRequestBytes(): number {
  const request = { group: 'catalogue', serverAddress: sampleServer(1).address, renewerFence: 1_000 };
  return WithdrawRequest.encode(request).finish().length;
}

/** Encoded size of a full assignment by number of slices, for a fixed number of servers, in bytes. */
export function assignmentBytes(servers: number, sizes: readonly number[]): readonly Point[] {
  return sizes.map((size) => ({
    size,
    cost: messageBytes({ $case: 'assignment', value: sampleAssignment(servers, size) }),
  }));
}

/** Encoded size of a delta by number of moved slices, in bytes. */
export function deltaBytes(sizes: readonly number[]): readonly Point[] {
  const base = sampleAssignment(100, 4_096);
  return sizes.map((size) => ({
    size,
    cost: messageBytes({ $case: 'delta', value: diffAssignments(base, withMovedSlices(base, size)) }),
  }));
}
