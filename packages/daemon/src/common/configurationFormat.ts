import { InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import type { EntryDifference } from '@hickoryhoist/base/common/entryDifferences.js';
import type { Finding } from '@hickoryhoist/base/common/finding.js';
import type { ServerCounts } from '@hickoryhoist/routing/common/routeConfigurationCheck.js';

/** A parsed JSON document and where it came from. */
export interface ConfigurationDocument {
  readonly source: string;
  readonly value: unknown;
}

/** The documents of one version. */
export type ConfigurationDocuments = readonly [ConfigurationDocument, ...ConfigurationDocument[]];

/** A kind of configuration that can be checked. `T` is what its documents are decoded into. */
export interface ConfigurationFormat<T> {
  readonly name: string;
  /** Whether a document is meant as one of this format, valid or not. */
  recognizes(value: unknown): boolean;
  /** @throws InvalidDocumentError */
  decode(document: ConfigurationDocument): T;
  /** Joins the documents of one version. @throws InvalidDocumentError */
  merge(first: T, others: readonly T[]): T;
  describe(configuration: T): string;
  /** @param serverCounts number of servers by service, if it is known. */
  check(configuration: T, serverCounts?: ServerCounts): readonly Finding[];
  /** Finds what prevents a configuration from taking effect after the one in force. */
  checkSuccession(configuration: T, inForce: T): readonly Finding[];
  /** What is in force once the configuration has been sent. */
  applyTo(inForce: T, configuration: T): T;
  compare(before: T, after: T): readonly EntryDifference[];
}

/** The version that a configuration is compared with. */
export interface OtherVersion {
  /** Names the version for the operator. */
  readonly name: string;
  readonly documents: ConfigurationDocuments;
  /** Present if this version is in force. */
  readonly inForce?: { readonly serverCounts: ServerCounts | undefined };
}

/** Result of a check. */
export interface CheckReport {
  readonly source: string;
  /** Description of what was checked; undefined if it is invalid. */
  readonly description: string | undefined;
  readonly findings: readonly Finding[];
  /** Undefined if there was nothing to compare with, or if the configuration is invalid. */
  readonly comparison:
    | {
        readonly other: string;
        readonly description: string;
        readonly differences: readonly EntryDifference[];
      }
    | undefined;
}

/** Checks documents of one format. */
export interface ConfigurationChecker {
  readonly name: string;
  recognizes(value: unknown): boolean;
  /** @throws InvalidDocumentError if the other version is invalid. */
  check(source: string, documents: ConfigurationDocuments, other?: OtherVersion): CheckReport;
}

export function createChecker<T>(format: ConfigurationFormat<T>): ConfigurationChecker {
  return {
    name: format.name,
    recognizes: (value) => format.recognizes(value),
    check: (source, documents, other) => {
      const result = decodeAll(format, documents);
      if (result.kind === 'invalid') {
        return { source, description: undefined, findings: result.findings, comparison: undefined };
      }
      const { configuration } = result;
      const description = format.describe(configuration);
      if (other === undefined) {
        return { source, description, findings: format.check(configuration), comparison: undefined };
      }
      const before = decodeVersion(format, other.documents);
      const after = other.inForce === undefined ? configuration : format.applyTo(before, configuration);
      return {
        source,
        description,
        findings:
          other.inForce === undefined
            ? format.check(configuration)
            : checkSuccessor(format, configuration, before, other.inForce.serverCounts),
        comparison: {
          other: other.name,
          description: format.describe(before),
          differences: format.compare(before, after),
        },
      };
    },
  };
}

type DecodeResult<T> =
  | { readonly kind: 'valid'; readonly configuration: T }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/** Decodes documents one by one, so that each of them gets its findings. */
function decodeAll<T>(format: ConfigurationFormat<T>, documents: ConfigurationDocuments): DecodeResult<T> {
  const findings = documents.flatMap((document) => findingsOf(() => format.decode(document)));
  const all = findings.length > 0 ? findings : findingsOf(() => decodeVersion(format, documents));
  return all.length > 0
    ? { kind: 'invalid', findings: all }
    : { kind: 'valid', configuration: decodeVersion(format, documents) };
}

/** @throws InvalidDocumentError */
function decodeVersion<T>(format: ConfigurationFormat<T>, [first, ...others]: ConfigurationDocuments): T {
  return format.merge(
    format.decode(first),
    others.map((document) => format.decode(document)),
  );
}

function findingsOf(decode: () => unknown): readonly Finding[] {
  try {
    decode();
    return [];
  } catch (error) {
    if (error instanceof InvalidDocumentError) {
      return error.problems.map((message) => ({ kind: 'invalid', place: error.source, message }));
    }
    throw error;
  }
}

/** Leaves out what the configuration in force has as well, unless the successor states it anew. */
function checkSuccessor<T>(
  format: ConfigurationFormat<T>,
  configuration: T,
  inForce: T,
  serverCounts: ServerCounts | undefined,
): readonly Finding[] {
  const known = new Set(format.check(inForce, serverCounts).map(identify));
  const findings = [
    ...format.check(configuration, serverCounts),
    ...format
      .check(format.applyTo(inForce, configuration), serverCounts)
      .filter((finding) => !known.has(identify(finding))),
    ...format.checkSuccession(configuration, inForce),
  ];
  return [...new Map(findings.map((finding) => [identify(finding), finding])).values()];
}

function identify({ kind, place, message }: Finding): string {
  return JSON.stringify([kind, place, message]);
}
