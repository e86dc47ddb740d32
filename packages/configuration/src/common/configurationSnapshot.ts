import { z } from 'zod';
import { validateDocument, InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import { type ServiceFile, serviceFileSchema } from './serviceFile.js';

/** Schema of a snapshot as it lies in the object store. */
export const configurationSnapshotSchema = z.strictObject({
  services: z.array(serviceFileSchema),
});

/** All service files of one revision. */
export interface ConfigurationSnapshot {
  readonly services: readonly ServiceFile[];
}

/** A snapshot together with its position in the sequence of accepted configurations. */
export interface VersionedConfiguration {
  readonly revision: number;
  readonly snapshot: ConfigurationSnapshot;
}

/** Checks service files against each other. @throws InvalidDocumentError naming every collision. */
export function buildSnapshot(services: readonly ServiceFile[]): ConfigurationSnapshot {
  const sorted = [...services].sort((left, right) => left.name.localeCompare(right.name));
  const problems = [...findRepeats(sorted, 'name'), ...findRepeats(sorted, 'pathPrefix')];
  if (problems.length > 0) {
    throw new InvalidDocumentError('service files', problems);
  }
  return { services: sorted };
}

/** Parses a snapshot. @throws InvalidDocumentError */
export function parseSnapshot(source: string, value: unknown): ConfigurationSnapshot {
  return buildSnapshot(validateDocument(source, configurationSnapshotSchema, value).services);
}

function findRepeats(services: readonly ServiceFile[], field: 'name' | 'pathPrefix'): string[] {
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
