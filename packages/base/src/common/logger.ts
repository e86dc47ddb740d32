/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log event. Undefined values are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes each event as one line of key=value pairs. */
export interface Logger {
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

/** Discards every event. */
export const silentLogger: Logger = { log: () => undefined };

/** Formats an event as key=value pairs; values with spaces or quotes are written as JSON strings. */
export function formatLogLine(event: string, fields: LogFields): string {
  const all: LogFields = { event, ...fields };
  const pairs = Object.entries(all).filter(([, value]) => value !== undefined);
  return pairs.map(([key, value]) => `${key}=${formatValue(value)}`).join(' ');
}

function formatValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

const PAIR_PATTERN = /([^\s=]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a line written by `formatLogLine`. @returns its values as text, or undefined for a line without an event. */
export function parseLogLine(line: string): Readonly<Record<string, string>> | undefined {
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.matchAll(PAIR_PATTERN)) {
    if (key !== undefined && value !== undefined) {
      fields[key] = unquote(value);
    }
  }
  return fields.event === undefined ? undefined : fields;
}

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}
