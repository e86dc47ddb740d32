import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { EntryVmMetrics } from '../common/entryVmMetrics.js';
import type { KeyOwners } from '../common/keyOwners.js';
import type { CompletedRequest } from './callerServer.js';

/** Records the result of each request in the metrics and the log. */
export class CompletionRecorder {
  readonly #metrics: EntryVmMetrics;
  readonly #owners: KeyOwners;
  readonly #logger: Logger;

  constructor(metrics: EntryVmMetrics, owners: KeyOwners, logger: Logger) {
    this.#metrics = metrics;
    this.#owners = owners;
    this.#logger = logger;
  }

  record(completed: CompletedRequest): void {
    const outcome = completed.outcome?.kind ?? 'rejected';
    const reason =
      completed.outcome === undefined || completed.outcome.kind === 'answered'
        ? undefined
        : completed.outcome.reason;
    const service = completed.match?.service.name ?? '';
    const kind = completed.match?.route.kind ?? '';
    this.#metrics.count('hickoryhoist_requests_total', { service, kind, outcome, reason: reason ?? '' });
    this.#metrics.recordMilliseconds(
      'hickoryhoist_request_milliseconds',
      { service, outcome },
      completed.milliseconds,
    );
    this.#logger.log('info', 'request-ended', {
      request: completed.id,
      service,
      route: completed.match?.route.name,
      revision: completed.revision,
      key: completed.key,
      assignment:
        completed.key === undefined ? undefined : this.#owners.assignmentOf(service)?.assignment.revision,
      server: completed.outcome?.kind === 'answered' ? completed.outcome.serverId : undefined,
      status: completed.status,
      outcome,
      reason,
      milliseconds: Math.round(completed.milliseconds),
      goal: Math.round(completed.goalMilliseconds),
    });
  }
}
