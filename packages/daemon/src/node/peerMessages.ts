import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import type { OwnershipHolder } from '@hickoryhoist/ownership/common/ownershipHolder.js';
import { headerNames, REFUSAL_STATUS } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { OWNERSHIP_PATH, ownershipCommandSchema } from '@hickoryhoist/protocol/common/serverMessages.js';

/**
 * Handles ownership commands to this entry VM as an owner of idempotency keys and refuses forwarded requests
 * on keys that it does not own. @returns whether the message was handled here.
 */
export function interceptPeerMessage(
  holder: OwnershipHolder,
  message: IncomingMessage,
  response: ServerResponse,
): boolean {
  if (message.url === OWNERSHIP_PATH) {
    void handleCommand(holder, message, response);
    return true;
  }
  const keyHash = message.headers[headerNames.handedOver];
  if (typeof keyHash === 'string' && holder.owns(keyHash)) {
    return false;
  }
  response.statusCode = REFUSAL_STATUS;
  response.setHeader(headerNames.refusal, 'not-owner');
  response.setHeader('connection', 'close');
  response.end();
  return true;
}

async function handleCommand(
  holder: OwnershipHolder,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
      chunks.push(chunk as Buffer);
    }
    const command = parseDocument('command', ownershipCommandSchema, Buffer.concat(chunks).toString('utf8'));
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(holder.handle(command)));
  } catch {
    response.statusCode = 400;
    response.end();
  }
}
