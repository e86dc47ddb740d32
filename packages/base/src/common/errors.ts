/** Root of every failure that this project raises. `code` is stable and safe to test against. */
export abstract class HickoryhoistError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Raised when an operation was stopped through its `AbortSignal`. */
export class CancellationError extends HickoryhoistError {
  readonly code = 'cancelled';
}

/** Raised when the program reaches a state that its own rules exclude. */
export class InvariantError extends HickoryhoistError {
  readonly code = 'invariant';
}

/** Returns the message of any thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
