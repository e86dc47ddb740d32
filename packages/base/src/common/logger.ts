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
  let line = `event=${formatValue(event)}`;
  for (const key of Object.keys(fields)) {
    const value = fields[key];
    if (value !== undefined) {
      line += ` ${key}=${formatValue(value)}`;
    }
  }
  return line;
}

function formatValue(value: string | number | boolean): string {
  if (typeof value !== 'string') {
    return String(value);
  }
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value);
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
