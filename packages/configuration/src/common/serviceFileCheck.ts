import { InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import type { Finding, FindingKind } from '@hickoryhoist/base/common/finding.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import { buildSnapshot } from './configurationSnapshot.js';
import type { KeyedService, ServiceFile } from './serviceFile.js';

const MAX_PORT = 65_535;
/** Characters of which HTTP allows the name of a header to consist. */
const HEADER_NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** Finds what can never take effect or contradicts itself in services that satisfy their schema. */
export function checkServiceFiles(services: readonly ServiceFile[]): readonly Finding[] {
  return [
    ...checkSnapshot(services),
    ...services.flatMap((service) => [
      ...checkObjective(service),
      ...checkServers(service),
      ...checkSharedServers(service, services),
      ...(service.kind === 'keyed' ? checkKeys(service) : checkRetries(service)),
    ]),
  ];
}

/** Finds what cannot change while a service runs. */
export function checkServiceChanges(
  before: readonly ServiceFile[],
  after: readonly ServiceFile[],
): readonly Finding[] {
  const earlier = new Map(before.map((service) => [service.name, service]));
  return after.flatMap((service) => {
    const old = earlier.get(service.name);
    if (old?.kind !== 'keyed' || service.kind !== 'keyed' || old.sliceCount === service.sliceCount) {
      return [];
    }
    return finding(
      'contradiction',
      service,
      `sliceCount cannot change from ${old.sliceCount.toString()} to ${service.sliceCount.toString()} while the service runs`,
    );
  });
}

function finding(kind: FindingKind, { name }: ServiceFile, message: string): readonly Finding[] {
  return [{ kind, place: `service ${name}`, message }];
}

function checkSnapshot(services: readonly ServiceFile[]): readonly Finding[] {
  try {
    buildSnapshot(services);
    return [];
  } catch (error) {
    if (error instanceof InvalidDocumentError) {
      return error.problems.map((message) => ({ kind: 'invalid', place: error.source, message }));
    }
    throw error;
  }
}

function checkObjective(service: ServiceFile): readonly Finding[] {
  const { deadlineMilliseconds: deadline, objective, slotsPerServer, connectionsPerServer } = service;
  return [
    ...(deadline < objective.withinMilliseconds
      ? finding(
          'contradiction',
          service,
          `the deadline of ${deadline.toString()} ms is below the objective of ${objective.withinMilliseconds.toString()} ms`,
        )
      : []),
    ...(connectionsPerServer < slotsPerServer
      ? finding(
          'contradiction',
          service,
          `connectionsPerServer ${connectionsPerServer.toString()} is below slotsPerServer ${slotsPerServer.toString()}`,
        )
      : []),
  ];
}

function addressesOf({ servers }: ServiceFile): readonly string[] {
  return 'role' in servers ? [] : servers.map(({ address }) => address);
}

function checkServers(service: ServiceFile): readonly Finding[] {
  const addresses = addressesOf(service);
  return [...new Set(addresses)].flatMap((address) => {
    const { port } = splitAddress(address);
    return [
      ...(port < 1 || port > MAX_PORT
        ? finding('contradiction', service, `server ${address} has no port that can be connected to`)
        : []),
      ...(addresses.indexOf(address) === addresses.lastIndexOf(address)
        ? []
        : finding('ambiguous', service, `server ${address} is listed more than once`)),
    ];
  });
}

function checkSharedServers(service: ServiceFile, services: readonly ServiceFile[]): readonly Finding[] {
  const addresses = new Set(addressesOf(service));
  return services
    .slice(0, services.indexOf(service))
    .flatMap((other) =>
      [...new Set(addressesOf(other))]
        .filter((address) => addresses.has(address))
        .flatMap((address) =>
          finding(
            'contradiction',
            service,
            `server ${address} also runs ${other.name}; its slots and connections are counted for each service alone`,
          ),
        ),
    );
}

function checkKeys(service: KeyedService): readonly Finding[] {
  const { key, sliceCount, weights } = service;
  const count = new Set(addressesOf(service)).size;
  const isWeightless = weights.imbalance === 0 && weights.churn === 0 && weights.unavailableTime === 0;
  return [
    ...(sliceCount < count
      ? finding(
          'contradiction',
          service,
          `${sliceCount.toString()} slices leave some of ${count.toString()} servers without keys`,
        )
      : []),
    ...(isWeightless ? finding('contradiction', service, 'all weights are 0, so no measure counts') : []),
    ...(key.in === 'header' && !HEADER_NAME.test(key.name)
      ? finding(
          'never-matches',
          service,
          `no request has a header ${JSON.stringify(key.name)}, so none has a key`,
        )
      : []),
  ];
}

/** Load pattern: a server that does not respond; a retry or hedge needs another one. */
function checkRetries(service: ServiceFile): readonly Finding[] {
  const { idempotentMethods } = service;
  return new Set(addressesOf(service)).size === 1 && idempotentMethods.length > 0
    ? finding(
        'contradiction',
        service,
        `retries and hedges of ${idempotentMethods.join(', ')} need another server, and there is one`,
      )
    : [];
}
