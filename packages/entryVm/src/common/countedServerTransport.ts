import type { ResponseHeaders } from '@hickoryhoist/dispatch/common/callerRequest.js';
import type {
  ServerCall,
  ServerCallResult,
  ServerTransport,
} from '@hickoryhoist/dispatch/common/serverCall.js';
import type { KeyGrantClient } from '@hickoryhoist/keyownership/common/keyGrantClient.js';
import type { ByteAccount } from './byteAccount.js';

/** First line of a request without its path, and the empty line after the headers. */
const REQUEST_LINE_BYTES = 20;
/** First line of a response, and the empty line after the headers. */
const STATUS_LINE_BYTES = 20;
/** Separators of a header. */
const HEADER_SEPARATOR_BYTES = 4;
/** Headers that the connection adds to a request: identifier, time limit, target server, length. */
const ADDED_HEADER_BYTES = 200;
/** A command about keys with its response, without a handover. */
const COMMAND_BYTES = 450;

/** What the account distinguishes servers by. */
export interface ServerLocation {
  readonly availabilityZone: string;
  /** Whether the server owns keys, so that its requests can go to no other one. */
  readonly isKeyed: boolean;
}

/** Counts the bytes of the calls of another transport. Heads are counted without their encoding on the connection. */
export class CountedServerTransport implements ServerTransport {
  readonly #transport: ServerTransport;
  readonly #account: ByteAccount;
  readonly #locate: (serverId: string) => ServerLocation | undefined;

  constructor(
    transport: ServerTransport,
    account: ByteAccount,
    locate: (serverId: string) => ServerLocation | undefined,
  ) {
    this.#transport = transport;
    this.#account = account;
    this.#locate = locate;
  }

  async call(call: ServerCall): Promise<ServerCallResult> {
    const location = this.#locate(call.serverId);
    const zone = location?.availabilityZone;
    const prefix = location?.isKeyed === true ? 'keyed' : 'pooled';
    const result = await this.#transport.call(call);
    if (result.kind !== 'not-written') {
      const head = REQUEST_LINE_BYTES + call.target.length + ADDED_HEADER_BYTES + bytesOf(call.headers);
      this.#account.add(`${prefix}-request`, zone, head + call.body.length);
    }
    if (result.kind === 'answered') {
      this.#account.add(
        `${prefix}-response`,
        zone,
        STATUS_LINE_BYTES + bytesOf(result.headers) + result.body.length,
      );
    }
    return result;
  }
}

/** Counts the bytes of the commands of another client, by the usual size of a command. */
export function countGrants(
  client: KeyGrantClient,
  account: ByteAccount,
  locate: (serverId: string) => ServerLocation | undefined,
): KeyGrantClient {
  const count = (serverId: string, handover: string | undefined): void => {
    account.add('grant', locate(serverId)?.availabilityZone, COMMAND_BYTES + (handover?.length ?? 0));
  };
  return {
    grant: async (target, grant, timeoutMilliseconds, mayStillSend) => {
      const result = await client.grant(target, grant, timeoutMilliseconds, mayStillSend);
      if (result.kind !== 'not-sent') {
        count(target.serverId, grant.handover);
      }
      return result;
    },
    release: async (target, release, timeoutMilliseconds) => {
      const result = await client.release(target, release, timeoutMilliseconds);
      count(target.serverId, result.kind === 'released' ? result.handover : undefined);
      return result;
    },
  };
}

function bytesOf(headers: ServerCall['headers'] | ResponseHeaders): number {
  let bytes = 0;
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    if (typeof value === 'string') {
      bytes += name.length + value.length + HEADER_SEPARATOR_BYTES;
    } else if (value !== undefined) {
      for (const text of value) {
        bytes += name.length + text.length + HEADER_SEPARATOR_BYTES;
      }
    }
  }
  return bytes;
}
