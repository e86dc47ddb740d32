import type { ServerResponse } from 'node:http';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { type RequestOutcome, statusOf } from '../common/requestOutcome.js';

/** Headers that this process sets itself, since they describe one connection or the framing of one message. */
const perConnectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
]);

/** Responds to a caller with the outcome of a request. */
export function writeOutcome(response: ServerResponse, requestId: string, outcome: RequestOutcome): void {
  if (response.destroyed) {
    return;
  }
  response.setHeader(headerNames.requestId, requestId);
  response.setHeader(headerNames.outcome, outcome.kind);
  switch (outcome.kind) {
    case 'answered':
      for (const [name, value] of Object.entries(outcome.headers)) {
        if (!perConnectionHeaders.has(name) && !name.startsWith('hickoryhoist-')) {
          response.setHeader(name, value);
        }
      }
      response.statusCode = outcome.status;
      response.setHeader('content-length', outcome.body.length);
      response.end(outcome.body);
      return;
    case 'not-run':
    case 'unknown': {
      response.statusCode = statusOf(outcome);
      response.setHeader(headerNames.reason, outcome.reason);
      if (outcome.kind === 'not-run' && outcome.retryAfterSeconds !== undefined) {
        response.setHeader('retry-after', outcome.retryAfterSeconds.toString());
      }
      const body = JSON.stringify({ outcome: outcome.kind, reason: outcome.reason, requestId });
      response.setHeader('content-type', 'application/json');
      response.setHeader('content-length', Buffer.byteLength(body));
      response.end(body);
    }
  }
}
