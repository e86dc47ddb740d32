import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { firstHeaderValue } from '@hickoryhoist/base/common/headerValue.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import type { CallerRequest } from '../common/callerRequest.js';
import { MAXIMUM_IDEMPOTENCY_KEY_LENGTH } from '../common/idempotencyKey.js';
import { type ResponseHeaders, retryableNotRun, type RequestOutcome } from '../common/requestOutcome.js';
import { parseTarget } from '../common/requestTarget.js';
import { extractKey, matchService } from '../common/serviceMatcher.js';

/** Result of reading a request: the request, or the outcome of an invalid one unless the caller disconnected. */
export type ReadResult =
  | { readonly kind: 'request'; readonly request: CallerRequest }
  | { readonly kind: 'refused'; readonly requestId: string; readonly outcome: RequestOutcome }
  | { readonly kind: 'caller-disconnected' };

/** Reads and validates a caller's complete request, before anything is sent to a server. */
export async function readRequest(
  message: IncomingMessage,
  configuration: VersionedConfiguration | undefined,
  signal: AbortSignal,
): Promise<ReadResult> {
  const headers = definedHeaders(message);
  const id = firstHeaderValue(headers, headerNames.requestId) ?? randomUUID();
  const refuse = (outcome: RequestOutcome): ReadResult => ({ kind: 'refused', requestId: id, outcome });
  if (configuration === undefined) {
    return refuse(retryableNotRun('not-ready'));
  }
  const target = message.url ?? '/';
  const url = parseTarget(target);
  if (url === undefined) {
    return refuse({ kind: 'not-run', reason: 'malformed-request' });
  }
  const service = matchService(configuration.snapshot, url.pathname);
  if (service === undefined) {
    return refuse({ kind: 'not-run', reason: 'unknown-service' });
  }
  const key = extractKey(service, url, headers);
  if (service.kind === 'keyed' && key === undefined) {
    return refuse({ kind: 'not-run', reason: 'missing-key' });
  }
  const idempotencyKey = firstHeaderValue(headers, headerNames.idempotencyKey);
  if (idempotencyKey !== undefined && !isValidIdempotencyKey(idempotencyKey)) {
    return refuse({ kind: 'not-run', reason: 'malformed-request' });
  }
  const deadlineMilliseconds = readDeadline(headers, service.deadlineMilliseconds);
  if (deadlineMilliseconds === undefined) {
    return refuse({ kind: 'not-run', reason: 'malformed-request' });
  }
  const deadlineAt = performance.now() + deadlineMilliseconds;
  const body = await readBody(message, service.bodyLimitBytes);
  switch (body.kind) {
    case 'too-large':
      return refuse({ kind: 'not-run', reason: 'body-too-large' });
    case 'caller-disconnected':
      return body;
    case 'read':
      break;
  }
  const method = message.method ?? 'GET';
  const isIdempotent = (service.idempotentMethods as readonly string[]).includes(method);
  return {
    kind: 'request',
    request: {
      id,
      service,
      method,
      target,
      headers,
      body: body.body,
      key,
      idempotencyKey,
      isIdempotent,
      deadlineAt,
      signal,
    },
  };
}

type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'caller-disconnected' };

function readBody(message: IncomingMessage, limitBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        message.pause();
        resolve({ kind: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => {
      resolve({ kind: 'read', body: Buffer.concat(chunks) });
    });
    message.on('error', () => {
      resolve({ kind: 'caller-disconnected' });
    });
    message.on('close', () => {
      if (!message.complete) {
        resolve({ kind: 'caller-disconnected' });
      }
    });
  });
}

function readDeadline(headers: ResponseHeaders, limitMilliseconds: number): number | undefined {
  const text = firstHeaderValue(headers, headerNames.deadline);
  if (text === undefined) {
    return limitMilliseconds;
  }
  const requested = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return requested > 0 ? Math.min(requested, limitMilliseconds) : undefined;
}

function isValidIdempotencyKey(idempotencyKey: string): boolean {
  return idempotencyKey.length > 0 && idempotencyKey.length <= MAXIMUM_IDEMPOTENCY_KEY_LENGTH;
}

function definedHeaders(message: IncomingMessage): ResponseHeaders {
  return Object.fromEntries(
    Object.entries(message.headers).filter(
      (entry): entry is [string, string | string[]] => entry[1] !== undefined,
    ),
  );
}
