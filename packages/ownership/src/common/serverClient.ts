import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { OwnershipCommand, OwnershipState } from '@hickoryhoist/protocol/common/serverMessages.js';

/** Response to a command. It has the state of a server that supports fencing; other servers are only known to respond. */
export type CommandResponse =
  { readonly kind: 'checked'; readonly state: OwnershipState } | { readonly kind: 'unchecked' };

/** Sends commands to servers. */
export interface ServerClient {
  /** @throws ServerUnreachableError when no valid response arrived in time; the command may have been executed. */
  send(address: string, command: OwnershipCommand, timeoutMilliseconds: number): Promise<CommandResponse>;
}

/** A server did not respond to a command. */
export class ServerUnreachableError extends HickoryhoistError {
  readonly code = 'server-unreachable';
}
