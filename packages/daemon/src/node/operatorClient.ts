import { request } from 'undici';
import type { z } from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';

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
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    const text = await response.body.text();
    if (response.statusCode !== STATUS_OK) {
      throw new OperatorPortError(`status ${response.statusCode.toString()}: ${text.trim()}`);
    }
    return text;
  } catch (error) {
    throw new OperatorPortError(`${address}: ${describeError(error)}`, { cause: error });
  }
}
