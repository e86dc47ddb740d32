import * as z from 'zod';
import { HickoryhoistError } from './errors.js';

/** Raised when a JSON document is malformed or violates its schema. The message contains source, path and reason. */
export class InvalidDocumentError extends HickoryhoistError {
  readonly code = 'invalid-document';
  readonly source: string;
  readonly problems: readonly string[];

  constructor(source: string, problems: readonly string[]) {
    super(problems.map((problem) => `${source}: ${problem}`).join('\n'));
    this.source = source;
    this.problems = problems;
  }
}

/** Validates a parsed value against a schema. @throws InvalidDocumentError that lists all violations. */
export function validateDocument<S extends z.ZodType>(
  source: string,
  schema: S,
  value: unknown,
): z.output<S> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  throw new InvalidDocumentError(
    source,
    result.error.issues.map((issue) => `at ${formatPath(issue.path)}: ${issue.message}`),
  );
}

/** Parses and validates JSON text. @throws InvalidDocumentError when the text is not JSON or violates the schema. */
export function parseDocument<S extends z.ZodType>(source: string, schema: S, text: string): z.output<S> {
  return validateDocument(source, schema, parseJson(source, text));
}

/** Parses JSON text. @throws InvalidDocumentError */
export function parseJson(source: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new InvalidDocumentError(source, [`not valid JSON: ${(error as Error).message}`]);
  }
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.length === 0 ? 'the top level' : path.map(String).join('.');
}
