import { readFile, stat } from 'node:fs/promises';
import { parseJson } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { findServiceFiles, SERVICE_FILE_SUFFIX } from '@hickoryhoist/configuration/node/serviceFileReader.js';
import {
  CONFIGURATION_PATH,
  configurationInForceSchema,
  serverCountsOf,
} from '@hickoryhoist/routing/common/configurationInForce.js';
import type {
  ConfigurationDocument,
  ConfigurationDocuments,
  OtherVersion,
} from '../common/configurationFormat.js';
import { callOperatorPort } from './operatorClient.js';

/** A configuration that cannot be read at all. */
export class UnusableInputError extends HickoryhoistError {
  readonly code = 'unusable-input';
}

/**
 * Reads a file, or the service files below a directory.
 * @throws UnusableInputError, InvalidDocumentError if a file is not JSON
 */
export async function readConfigurationDocuments(path: string): Promise<ConfigurationDocuments> {
  const [first, ...others] = await readFiles(path);
  if (first === undefined) {
    throw new UnusableInputError(
      `${path}: no file below it has a name that ends with ${SERVICE_FILE_SUFFIX}`,
    );
  }
  return [parseFile(first), ...others.map(parseFile)];
}

interface TextFile {
  readonly source: string;
  readonly text: string;
}

function parseFile({ source, text }: TextFile): ConfigurationDocument {
  return { source, value: parseJson(source, text) };
}

async function readFiles(path: string): Promise<readonly TextFile[]> {
  try {
    const paths = (await stat(path)).isDirectory() ? await findServiceFiles(path) : [path];
    return await Promise.all(paths.map(async (source) => ({ source, text: await readFile(source, 'utf8') })));
  } catch (error) {
    throw new UnusableInputError(`${path}: ${describeError(error)}`, { cause: error });
  }
}

/** Asks an entry VM for its configuration. @throws OperatorPortError, InvalidDocumentError */
export async function readVersionInForce(address: string): Promise<OtherVersion> {
  const name = `the version in force on ${address}`;
  const version = await callOperatorPort(
    address,
    'GET',
    CONFIGURATION_PATH,
    undefined,
    configurationInForceSchema,
  );
  return {
    name,
    documents: [{ source: name, value: parseJson(name, version.document) }],
    inForce: { serverCounts: serverCountsOf(version) },
  };
}
