import sonicBoom from 'sonic-boom';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import {
  formatLogLine,
  type LogFields,
  type Logger,
  type LogLevel,
} from '@hickoryhoist/base/common/logger.js';

const STANDARD_OUTPUT = 1;
/** The busiest entry VM completes about 200 requests a second, with one line each. */
const MAX_LINES_PER_EVENT_PER_SECOND = 300;
/** Further lines are dropped while the reader of standard output is slow. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Lines are written together once they reach this size, or after the flush interval. */
const MIN_WRITE_BYTES = 4_096;
const FLUSH_INTERVAL_MILLISECONDS = 200;
const DROP_REPORT_INTERVAL_MILLISECONDS = 1_000;

const levels: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Logger that never blocks on standard output. It limits its volume, and counts and reports dropped lines. */
export class BoundedLogger extends DisposableBase implements Logger {
  readonly #output = new sonicBoom.SonicBoom({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MILLISECONDS,
  });
  readonly #component: string;
  readonly #level: LogLevel;
  readonly #linesByEvent = new Map<string, number>();
  #droppedSinceReport = 0;
  #reportedDrops = 0;

  constructor(component: string, level: LogLevel) {
    super();
    this.#component = component;
    this.#level = level;
    this.#output.on('drop', () => {
      this.#droppedSinceReport += 1;
    });
    this.#output.on('error', () => {
      // A broken standard output cannot be reported in the log; the metric of dropped lines shows it.
      this.#droppedSinceReport += 1;
    });
    const timer = setInterval(() => {
      this.#reportDrops();
    }, DROP_REPORT_INTERVAL_MILLISECONDS);
    timer.unref();
    this.register(
      toDisposable(() => {
        clearInterval(timer);
        this.#output.end();
      }),
    );
  }

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this.#reportedDrops + this.#droppedSinceReport;
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (levels.indexOf(level) < levels.indexOf(this.#level)) {
      return;
    }
    const lines = this.#linesByEvent.get(event) ?? 0;
    if (lines >= MAX_LINES_PER_EVENT_PER_SECOND) {
      this.#droppedSinceReport += 1;
      return;
    }
    this.#linesByEvent.set(event, lines + 1);
    this.#write(level, event, fields);
  }

  #reportDrops(): void {
    this.#linesByEvent.clear();
    if (this.#droppedSinceReport > 0) {
      const lines = this.#droppedSinceReport;
      this.#reportedDrops += lines;
      this.#droppedSinceReport = 0;
      this.#write('warn', 'log-lines-dropped', { lines, inAll: this.#reportedDrops });
    }
  }

  #write(level: LogLevel, event: string, fields: LogFields): void {
    const line = formatLogLine(event, { level, component: this.#component, ...fields });
    this.#output.write(`time=${new Date().toISOString()} ${line}\n`);
  }
}
