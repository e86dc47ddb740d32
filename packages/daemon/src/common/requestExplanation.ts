import { parseLogLine } from '@hickoryhoist/base/common/logger.js';

/** A parsed log line of one entry VM. */
export interface LogRecord {
  /** Name of the log file. */
  readonly source: string;
  /** Timestamp of the line, in milliseconds since 1970. */
  readonly at: number;
  readonly fields: Readonly<Record<string, string>>;
}

/** Everything that the logs of several entry VMs contain about one request. */
export interface RequestExplanation {
  readonly id: string;
  /** Lines with the identifier of the request, in order. */
  readonly own: readonly LogRecord[];
  /** Lines from around that time about the servers, keys and store that it depended on, in order. */
  readonly around: readonly LogRecord[];
  /** One sentence on how the request ended and why. */
  readonly verdict: string;
}

/**
 * Time before and after a request in which other lines may explain it, in milliseconds. The keys of a failed
 * server are reassigned within 5 s.
 */
const CONTEXT_MILLISECONDS = 6_000;

/** Log events about keys and their assigner. */
const keyEvents: readonly string[] = [
  'assignment-written',
  'assignment-not-written',
  'lease-revoked',
  'release-answered',
  'grant-failed',
  'assigner-elected',
  'assigner-stopped',
  'assigner-lease-expired',
];
/** Log events about the state of a process and its store. */
const processEvents: readonly string[] = [
  'started',
  'stop-started',
  'stopped',
  'store-unreachable',
  'store-reachable',
  'configuration-applied',
  'coordinator-suspected',
  'log-lines-dropped',
];

/** Parses the lines of one log and skips lines in another format. */
export function readLog(source: string, text: string): readonly LogRecord[] {
  return text.split('\n').flatMap((line) => {
    const fields = parseLogLine(line);
    const at = Date.parse(fields?.time ?? '');
    return fields === undefined || Number.isNaN(at) ? [] : [{ source, at, fields }];
  });
}

/** Collects the log lines that concern one request and derives how it ended. */
export function explainRequest(id: string, records: readonly LogRecord[]): RequestExplanation {
  const sorted = [...records].sort((left, right) => left.at - right.at);
  const own = sorted.filter(({ fields }) => fields.request === id);
  const servers = new Set(own.flatMap(({ fields }) => [fields.server, fields.owner]).filter(isDefined));
  const sources = new Set(own.map(({ source }) => source));
  const hasKey = own.some(({ fields }) => fields.key !== undefined);
  const from = (own[0]?.at ?? 0) - CONTEXT_MILLISECONDS;
  const to = (own.at(-1)?.at ?? 0) + CONTEXT_MILLISECONDS;
  const around = sorted.filter(({ at, fields, source }) => {
    if (own.length === 0 || at < from || at > to || fields.request !== undefined) {
      return false;
    }
    const event = fields.event ?? '';
    const namesServer = [fields.server, fields.owner].some((name) => name !== undefined && servers.has(name));
    return (
      namesServer ||
      (hasKey && keyEvents.includes(event)) ||
      (sources.has(source) && processEvents.includes(event))
    );
  });
  return { id, own, around, verdict: verdictOf(own) };
}

function verdictOf(own: readonly LogRecord[]): string {
  const ended = own.find(({ fields }) => fields.event === 'request-ended')?.fields;
  const refusal = own.findLast(({ fields }) => fields.event === 'slot-refused')?.fields;
  const failure = own.findLast(({ fields }) => fields.event === 'attempt-failed')?.fields;
  if (own.length === 0) {
    return 'No log names this request: it reached none of these entry VMs, or its lines were dropped.';
  }
  if (ended === undefined) {
    return 'No line reports its end: the caller disconnected, or the process exited first.';
  }
  if (ended.outcome === 'answered') {
    return `Server ${ended.server ?? ''} answered with status ${ended.status ?? ''} after ${ended.milliseconds ?? ''} ms.`;
  }
  switch (ended.reason) {
    case 'overloaded':
      return (
        `Refused under load, not run: ${refusal?.coordinator ?? 'the coordinator'} expected a wait of ` +
        `${refusal?.expectedWaitMilliseconds ?? '?'} ms and ${refusal?.expectedWorkMilliseconds ?? '?'} ms of work, ` +
        `with ${refusal?.goalLeft ?? '?'} ms left of its goal and ${refusal?.left ?? '?'} ms of its time limit.` +
        (refusal?.statedRequestsPerSecond === undefined
          ? ''
          : ` Server ${refusal.server ?? '?'} had asked for at most ${refusal.statedRequestsPerSecond} requests a second.`)
      );
    case 'no-owner':
      return 'Not run: no server owned its key, or its server no longer owned it. See the lines about keys.';
    case 'no-server':
    case 'unreachable':
      return `Not run: ${refusal?.server ?? failure?.server ?? 'no server'} could not be reached.`;
    case 'connection-lost':
    case 'answer-damaged':
    case 'deadline':
      return (
        `Sent to server ${failure?.server ?? '?'}, which sent no complete response (${ended.reason}) in ` +
        `${failure?.milliseconds ?? '?'} ms. It may have run.`
      );
    default:
      return `Ended as ${ended.outcome ?? '?'} with status ${ended.status ?? '?'} (${ended.reason ?? 'no reason given'}).`;
  }
}

/** Fields that a formatted line shows elsewhere or that are the same on every line. */
const omittedFields: readonly string[] = ['time', 'event', 'level', 'component', 'request'];

/** Formats one line for each record, with times relative to the first line of the request. */
export function formatExplanation({ id, own, around, verdict }: RequestExplanation): string {
  const startedAt = own[0]?.at ?? 0;
  const lines = [...own, ...around]
    .sort((left, right) => left.at - right.at)
    .map(({ at, source, fields }) => {
      const details = Object.entries(fields)
        .filter(([key]) => !omittedFields.includes(key))
        .map(([key, value]) => `${key}=${value}`);
      const marker = fields.request === undefined ? ' ' : '*';
      const offset = (at - startedAt).toString().padStart(6);
      return `${marker} ${offset} ms  ${source}  ${fields.event ?? ''}  ${details.join(' ')}`;
    });
  return [`request ${id}`, ...lines, verdict].join('\n');
}

function isDefined(value: string | undefined): value is string {
  return value !== undefined;
}
