import * as z from 'zod';
import { validateDocument, InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import { type ServiceFile, serviceFileSchema } from './serviceFile.js';

/** Schema of a snapshot in the object store. */
export const configurationSnapshotSchema = z.strictObject({
  services: z.array(serviceFileSchema),
});

/** All service files of one revision of the configuration. */
export interface ConfigurationSnapshot {
  readonly services: readonly ServiceFile[];
}

/** A snapshot and its revision, which counts the accepted publications. */
export interface VersionedConfiguration {
  readonly revision: number;
  readonly snapshot: ConfigurationSnapshot;
}

/** Builds a snapshot. @throws InvalidDocumentError if services have the same name or path prefix. */
export function buildSnapshot(services: readonly ServiceFile[]): ConfigurationSnapshot {
  const sorted = [...services].sort((left, right) => left.name.localeCompare(right.name));
  const problems = [...findDuplicates(sorted, 'name'), ...findDuplicates(sorted, 'pathPrefix')];
  if (problems.length > 0) {
    throw new InvalidDocumentError('service files', problems);
  }
  return { services: sorted };
}

/** Parses a snapshot. @throws InvalidDocumentError */
export function parseSnapshot(source: string, value: unknown): ConfigurationSnapshot {
  return buildSnapshot(validateDocument(source, configurationSnapshotSchema, value).services);
}

function findDuplicates(services: readonly ServiceFile[], field: 'name' | 'pathPrefix'): string[] {
  const seen = new Map<string, string>();
  const problems: string[] = [];
  for (const service of services) {
    const value = service[field];
    const other = seen.get(value);
    if (other !== undefined) {
      problems.push(`at ${field}: "${value}" is used by both ${other} and ${service.name}`);
    }
    seen.set(value, service.name);
  }
  return problems;
}
