import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { OwnershipCommand, OwnershipState } from '@hickoryhoist/protocol/common/serverMessages.js';

/** Answer to an order: a server that checks fences states what it holds; another only shows that it is there. */
export type OrderAnswer =
  { readonly kind: 'checked'; readonly state: OwnershipState } | { readonly kind: 'unchecked' };

/** Sends orders to servers. */
export interface ServerClient {
  /** @throws ServerUnreachableError when no answer came within the limit; the order may have arrived. */
  order(address: string, order: OwnershipCommand, timeoutMilliseconds: number): Promise<OrderAnswer>;
}

/** A server did not answer an order. */
export class ServerUnreachableError extends HickoryhoistError {
  readonly code = 'server-unreachable';
}
