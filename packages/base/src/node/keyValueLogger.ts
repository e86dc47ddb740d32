import loglevel from 'loglevel';
import { type LogFields, type Logger, type LogLevel, formatLogLine } from '../common/logger.js';

/** Logger based on loglevel that writes to standard error. Each line contains the ISO 8601 time and the component. */
export class KeyValueLogger implements Logger {
  readonly #backend: loglevel.Logger;
  readonly #component: string;

  constructor(component: string, level: LogLevel) {
    this.#component = component;
    this.#backend = loglevel.getLogger(component);
    this.#backend.methodFactory =
      () =>
      (...parts: unknown[]) => {
        process.stderr.write(`${parts.map(String).join(' ')}\n`);
      };
    this.#backend.setLevel(level, false);
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const line = formatLogLine(event, { level, component: this.#component, ...fields });
    this.#backend[level](`time=${new Date().toISOString()} ${line}`);
  }
}
