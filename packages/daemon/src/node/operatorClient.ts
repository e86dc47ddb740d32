import { Agent } from 'undici';
import type { z } from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { requestText } from '@hickoryhoist/base/node/textRequest.js';

const CALL_TIMEOUT_MILLISECONDS = 3_000;
const STATUS_OK = 200;

/** An entry VM's operator port is unreachable or returned an error. */
export class OperatorPortError extends HickoryhoistError {
  readonly code = 'operator-port';
}

/** Calls an entry VM's operator port. @throws OperatorPortError, InvalidDocumentError */
export async function callOperatorPort<S extends z.ZodType>(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body: object | undefined,
  schema: S,
): Promise<z.output<S>> {
  const text = await sendRequest(address, method, path, body);
  return parseDocument(`${address}${path}`, schema, text);
}

async function sendRequest(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body: object | undefined,
): Promise<string> {
  const agent = new Agent({ connectTimeout: CALL_TIMEOUT_MILLISECONDS });
  try {
    const { status, text } = await requestText(agent, {
      origin: `http://${address}`,
      method,
      path,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    if (status !== STATUS_OK) {
      throw new OperatorPortError(`status ${status.toString()}: ${text.trim()}`);
    }
    return text;
  } catch (error) {
    throw new OperatorPortError(`${address}: ${describeError(error)}`, { cause: error });
  } finally {
    void agent.destroy();
  }
}
