import {
  compareEntries,
  type EntryDifference,
  type EntryField,
  uniqueNames,
} from '@hickoryhoist/base/common/entryDifferences.js';
import type { ServiceFile } from './serviceFile.js';

/** Compares services by name and by every field of their files. */
export function compareServiceFiles(
  before: readonly ServiceFile[],
  after: readonly ServiceFile[],
): readonly EntryDifference[] {
  const entriesOf = (services: readonly ServiceFile[]) => {
    const names = uniqueNames(services.map(({ name }) => `service ${name}`));
    return services.map((service, index) => ({
      name: names[index] ?? '',
      fields: Object.entries(service)
        .filter(([field]) => field !== 'name')
        .flatMap(([field, value]) => fieldsOf(field, value)),
    }));
  };
  return compareEntries(entriesOf(before), entriesOf(after));
}

/** The order of servers and methods has no effect. */
function fieldsOf(field: string, value: unknown): readonly EntryField[] {
  if (Array.isArray(value)) {
    return [{ field, value: value.map(formatItem).sort().join(', ') }];
  }
  return typeof value === 'object' && value !== null
    ? Object.entries(value).flatMap(([name, nested]) => fieldsOf(`${field}.${name}`, nested))
    : [{ field, value: String(value) }];
}

function formatItem(item: unknown): string {
  return typeof item === 'object' && item !== null ? Object.values(item).join(' in ') : String(item);
}
