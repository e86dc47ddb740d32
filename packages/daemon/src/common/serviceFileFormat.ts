import { validateDocument } from '@hickoryhoist/base/common/checkedJson.js';
import type { Finding } from '@hickoryhoist/base/common/finding.js';
import { configurationSnapshotSchema } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import { type ServiceFile, serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import {
  checkServiceChanges,
  checkServiceFiles,
} from '@hickoryhoist/configuration/common/serviceFileCheck.js';
import { compareServiceFiles } from '@hickoryhoist/configuration/common/serviceFileDifference.js';
import { findUnreachableServices } from '@hickoryhoist/gateway/common/unreachableServices.js';
import { ENTRY_VM_GROUP } from '@hickoryhoist/ownership/common/entryVmControl.js';
import type { ConfigurationFormat } from './configurationFormat.js';

const SERVICE_FIELDS: readonly string[] = ['kind', 'pathPrefix', 'servers'];

/** The product's own configuration: a service file, several of them, or a snapshot. */
export const serviceFileFormat: ConfigurationFormat<readonly ServiceFile[]> = {
  name: 'service files',
  recognizes: (value) => isSnapshot(value) || hasField(value, SERVICE_FIELDS),
  decode: ({ source, value }) =>
    isSnapshot(value)
      ? validateDocument(source, configurationSnapshotSchema, value).services
      : [validateDocument(source, serviceFileSchema, value)],
  merge: (first, others) => sortByName([...first, ...others.flat()]),
  describe: (services) => `${services.length.toString()} ${services.length === 1 ? 'service' : 'services'}`,
  check: (services) => [
    ...checkServiceFiles(services),
    ...findUnreachableServices(services),
    ...findReservedNames(services),
  ],
  checkSuccession: (services, inForce) => checkServiceChanges(inForce, services),
  applyTo: (inForce, services) => {
    const names = new Set(services.map(({ name }) => name));
    return sortByName([...inForce.filter(({ name }) => !names.has(name)), ...services]);
  },
  compare: compareServiceFiles,
};

function findReservedNames(services: readonly ServiceFile[]): readonly Finding[] {
  return services
    .filter(({ name }) => name === ENTRY_VM_GROUP)
    .map(({ name }) => ({
      kind: 'no-target',
      place: `service ${name}`,
      message: 'the name is that of the group of entry VMs, so the service gets no owners',
    }));
}

/** The order of a snapshot, which decides between services with the same prefix. */
function sortByName(services: readonly ServiceFile[]): readonly ServiceFile[] {
  return [...services].sort((left, right) => left.name.localeCompare(right.name));
}

function isSnapshot(value: unknown): boolean {
  return hasField(value, ['services']) && !hasField(value, SERVICE_FIELDS);
}

function hasField(value: unknown, fields: readonly string[]): boolean {
  return typeof value === 'object' && value !== null && fields.some((field) => Object.hasOwn(value, field));
}
