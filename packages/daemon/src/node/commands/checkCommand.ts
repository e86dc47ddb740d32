import { command, flag, option, optional, positional, string } from 'cmd-ts';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { formatCheckReport } from '../../common/checkReportText.js';
import type {
  CheckReport,
  ConfigurationChecker,
  ConfigurationDocuments,
  OtherVersion,
} from '../../common/configurationFormat.js';
import { readConfigurationDocuments, readVersionInForce, UnusableInputError } from '../configurationInput.js';
import { jsonFlag, operatorAddressOption, printResult } from './sharedArguments.js';

/** Exit codes of the check, which scripts tell apart before they send a configuration. */
const checkExitCodes = { nothingFound: 0, findings: 1, unusableInput: 2 } as const;

/** What a configuration is compared with. */
export type Comparison =
  | { readonly kind: 'none' }
  | { readonly kind: 'file'; readonly path: string }
  | { readonly kind: 'in-force'; readonly address: string };

/** Creates the command that checks a configuration of one of the given formats. */
export function createCheckCommand(checkers: readonly ConfigurationChecker[]) {
  return command({
    name: 'check',
    description: 'Check a configuration before it is sent, and compare it with another version',
    args: {
      file: positional({ type: string, displayName: 'file' }),
      against: option({
        type: optional(string),
        long: 'against',
        description: 'file with the version to compare with',
      }),
      inForce: flag({ long: 'in-force', description: 'compare with the version in force on an entry VM' }),
      entryVm: operatorAddressOption,
      json: jsonFlag,
    },
    handler: async ({ file, against, inForce, entryVm, json }) => {
      try {
        const report = await checkConfiguration(checkers, file, comparisonOf(against, inForce, entryVm));
        printResult(json, report, formatCheckReport(report));
        process.exitCode =
          report.findings.length === 0 ? checkExitCodes.nothingFound : checkExitCodes.findings;
      } catch (error) {
        process.stderr.write(`hickoryhoist: ${describeError(error)}\n`);
        process.exitCode = checkExitCodes.unusableInput;
      }
    },
  });
}

function comparisonOf(against: string | undefined, inForce: boolean, address: string): Comparison {
  if (against === undefined) {
    return inForce ? { kind: 'in-force', address } : { kind: 'none' };
  }
  if (inForce) {
    throw new UnusableInputError('--against and --in-force cannot be used together');
  }
  return { kind: 'file', path: against };
}

/** @throws UnusableInputError, OperatorPortError, InvalidDocumentError if there is nothing that can be checked. */
export async function checkConfiguration(
  checkers: readonly ConfigurationChecker[],
  path: string,
  comparison: Comparison,
): Promise<CheckReport> {
  const documents = await readConfigurationDocuments(path);
  const checker = findChecker(checkers, documents);
  const other = await readOtherVersion(comparison);
  if (other !== undefined && findChecker(checkers, other.documents) !== checker) {
    throw new UnusableInputError(`${other.name}: is not of the same kind as ${path} (${checker.name})`);
  }
  return checker.check(path, documents, other);
}

function findChecker(
  checkers: readonly ConfigurationChecker[],
  documents: ConfigurationDocuments,
): ConfigurationChecker {
  const checker = checkers.find((candidate) => documents.every(({ value }) => candidate.recognizes(value)));
  if (checker === undefined) {
    const unknown =
      documents.find(({ value }) => !checkers.some((candidate) => candidate.recognizes(value))) ??
      documents[0];
    const names = checkers.map(({ name }) => name).join(', ');
    throw new UnusableInputError(`${unknown.source}: is of no known kind (known: ${names})`);
  }
  return checker;
}

async function readOtherVersion(comparison: Comparison): Promise<OtherVersion | undefined> {
  switch (comparison.kind) {
    case 'none':
      return undefined;
    case 'file':
      return { name: comparison.path, documents: await readConfigurationDocuments(comparison.path) };
    case 'in-force':
      return readVersionInForce(comparison.address);
  }
}
