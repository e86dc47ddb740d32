import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';

/** A row of the platform's table service. Version 0 means that the row does not exist. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

/** One operation of a transaction. The transaction applies only if all expected versions match. */
export type TableOperation =
  | { readonly kind: 'check'; readonly key: string; readonly expectedVersion: number }
  | { readonly kind: 'put'; readonly key: string; readonly expectedVersion: number; readonly value: string };

/** Result of a transaction. A transaction that conflicts changes nothing. */
export type TransactionResult =
  | { readonly kind: 'committed' }
  | { readonly kind: 'conflict'; readonly key: string; readonly actualVersion: number };

/** The platform's transactional table service. */
export interface TableService {
  /**
   * @returns the row, with version 0 when it does not exist.
   * @throws PlatformUnavailableError
   */
  read(key: string): Promise<TableRow>;

  /**
   * @throws PlatformUnavailableError with `mayHaveApplied` set when the response was lost.
   */
  transact(operations: readonly TableOperation[]): Promise<TransactionResult>;
}

/** Raised when a call to the platform fails. `mayHaveApplied` tells whether a write may still have taken effect. */
export class PlatformUnavailableError extends HickoryhoistError {
  readonly code = 'platform-unavailable';
  readonly mayHaveApplied: boolean;

  constructor(message: string, mayHaveApplied: boolean, options?: ErrorOptions) {
    super(message, options);
    this.mayHaveApplied = mayHaveApplied;
  }
}
