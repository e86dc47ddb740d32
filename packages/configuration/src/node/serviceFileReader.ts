import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { type ServiceFile, serviceFileSchema } from '../common/serviceFile.js';

/** Suffix of the names of service files, which are kept next to the code of a service. */
export const SERVICE_FILE_SUFFIX = 'hickoryhoist.json';

const IGNORED_DIRECTORIES: readonly string[] = ['node_modules', '.git'];

/** Reads every service file below a directory. @throws InvalidDocumentError, or errors of the file system. */
export async function readServiceFiles(directory: string): Promise<readonly ServiceFile[]> {
  const paths = await findServiceFiles(directory);
  return Promise.all(
    paths.map(async (path) => parseDocument(path, serviceFileSchema, await readFile(path, 'utf8'))),
  );
}

/** Finds the service files below a directory. @throws errors of the file system. */
export async function findServiceFiles(directory: string): Promise<readonly string[]> {
  const entries = await readdir(directory, { withFileTypes: true });
  const nested = await Promise.all(
    entries.map(async (entry): Promise<readonly string[]> => {
      const path = join(directory, entry.name);
      if (entry.isDirectory()) {
        return IGNORED_DIRECTORIES.includes(entry.name) ? [] : findServiceFiles(path);
      }
      return entry.name.endsWith(SERVICE_FILE_SUFFIX) ? [path] : [];
    }),
  );
  return nested.flat().sort();
}
