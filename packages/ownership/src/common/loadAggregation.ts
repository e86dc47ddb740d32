import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import type { Pin } from '@hickoryhoist/protocol/common/assignment.js';
import type { GroupLoad } from './observations.js';

const MILLISECONDS_PER_SECOND = 1_000;
const MINIMUM_SPEED = 0.1;
const MAXIMUM_SPEED = 10;

/** Load of a group without any report. */
export const emptyLoad: GroupLoad = { total: 0, slices: new Map(), keys: new Map(), speeds: new Map() };

/** Merges the newest reports of all gateways into the load of the group. */
export function mergeLoad(
  reports: readonly LoadReport[],
  pins: readonly Pin[],
  sliceCount: number,
): GroupLoad {
  const slices = new Map<number, number>();
  const keys = new Map<string, number>();
  const servers = new Map<string, { requests: number; busyMilliseconds: number }>();
  for (const report of reports) {
    const perSecond = MILLISECONDS_PER_SECOND / Math.max(1, report.intervalMilliseconds);
    for (const { slice, busyMilliseconds } of report.slices) {
      slices.set(slice, (slices.get(slice) ?? 0) + busyMilliseconds * perSecond);
    }
    for (const { keyHash, busyMilliseconds } of report.keys) {
      keys.set(keyHash, (keys.get(keyHash) ?? 0) + busyMilliseconds * perSecond);
    }
    for (const { address, requests, busyMilliseconds } of report.servers) {
      const sum = servers.get(address) ?? { requests: 0, busyMilliseconds: 0 };
      sum.requests += requests;
      sum.busyMilliseconds += busyMilliseconds;
      servers.set(address, sum);
    }
  }
  const total = [...slices.values()].reduce((sum, work) => sum + work, 0);
  for (const { keyHash } of pins) {
    const slice = sliceOf(keyHash, sliceCount);
    slices.set(slice, Math.max(0, (slices.get(slice) ?? 0) - (keys.get(keyHash) ?? 0)));
  }
  return { total, slices, keys, speeds: relativeSpeeds(servers) };
}

function relativeSpeeds(
  servers: ReadonlyMap<string, { requests: number; busyMilliseconds: number }>,
): ReadonlyMap<string, number> {
  const speeds = [...servers]
    .filter(([, { requests, busyMilliseconds }]) => requests > 0 && busyMilliseconds > 0)
    .map(([address, { requests, busyMilliseconds }]): [string, number] => [
      address,
      requests / busyMilliseconds,
    ]);
  const mean = speeds.reduce((sum, [, speed]) => sum + speed, 0) / Math.max(1, speeds.length);
  return new Map(
    speeds.map(([address, speed]) => [
      address,
      Math.min(MAXIMUM_SPEED, Math.max(MINIMUM_SPEED, speed / mean)),
    ]),
  );
}
