/** Base class of all errors raised by this project. `code` is stable and may be compared by callers. */
export abstract class HickoryhoistError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Raised when an operation was cancelled through its `AbortSignal`. */
export class CancellationError extends HickoryhoistError {
  readonly code = 'cancelled';
}

/** Raised when an internal invariant is violated. */
export class InvariantError extends HickoryhoistError {
  readonly code = 'invariant';
}

/** Returns the message of a thrown value of any type. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
