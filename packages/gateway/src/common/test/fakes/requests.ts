import { type ServiceFile, serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { CallerRequest } from '../../callerRequest.js';

/** Pooled service whose only idempotent requests are reads. */
export const reservations: ServiceFile = serviceFileSchema.parse({
  kind: 'pooled',
  name: 'reservations',
  pathPrefix: '/reservations',
  servers: [
    { address: '10.0.0.1:80', availabilityZone: 'a' },
    { address: '10.0.0.2:80', availabilityZone: 'b' },
  ],
  deadlineMilliseconds: 400,
});

/** Builds a request from default values and the given fields. */
export function buildRequest(fields: Partial<CallerRequest> = {}): CallerRequest {
  const method = fields.method ?? 'POST';
  const idempotencyKey = fields.idempotencyKey;
  return {
    id: 'request',
    service: reservations,
    method,
    target: '/reservations/new',
    headers: idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey },
    body: Buffer.from('ride'),
    key: undefined,
    idempotencyKey,
    isIdempotent: method === 'GET',
    deadlineAt: performance.now() + reservations.deadlineMilliseconds,
    signal: new AbortController().signal,
    ...fields,
  };
}
