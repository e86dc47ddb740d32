import type { Dispatcher } from 'undici';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import { requestText } from '@hickoryhoist/base/node/textRequest.js';
import {
  OWNERSHIP_PATH,
  type OwnershipCommand,
  ownershipStateSchema,
} from '@hickoryhoist/protocol/common/serverMessages.js';
import { type CommandResponse, type ServerClient, ServerUnreachableError } from '../common/serverClient.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Bytes of the response to a command: a server names the keys on which it is still at work. */
const MAX_RESPONSE_BYTES = 262_144;

/** Sends commands over HTTP. A server without the ownership endpoint is treated as not supporting fencing. */
export class HttpServerClient implements ServerClient {
  readonly #dispatcher: Dispatcher;

  constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
  }

  async send(
    address: string,
    command: OwnershipCommand,
    timeoutMilliseconds: number,
  ): Promise<CommandResponse> {
    try {
      const { status, text } = await requestText(this.#dispatcher, {
        origin: `http://${address}`,
        method: 'POST',
        path: OWNERSHIP_PATH,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(command),
        timeoutMilliseconds,
        maxResponseBytes: MAX_RESPONSE_BYTES,
      });
      switch (status) {
        case STATUS_OK:
          return { kind: 'checked', state: parseDocument(address, ownershipStateSchema, text) };
        case STATUS_NOT_FOUND:
          return { kind: 'unchecked' };
        default:
          throw new ServerUnreachableError(`${address}: status ${status.toString()}`);
      }
    } catch (error) {
      throw new ServerUnreachableError(`${address}: ${describeError(error)}`, { cause: error });
    }
  }
}
