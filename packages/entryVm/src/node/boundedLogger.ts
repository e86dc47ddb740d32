import sonicBoom from 'sonic-boom';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import {
  formatLogLine,
  type LogFields,
  type Logger,
  type LogLevel,
} from '@hickoryhoist/base/common/logger.js';

const STANDARD_OUTPUT = 1;
/** Lines of one event in a second; the busiest entry VM ends some 200 requests in a second. */
const LINES_PER_EVENT_AND_SECOND = 300;
/** Bytes that may wait for a slow reader; lines beyond are dropped. */
const WAITING_BYTES = 1_048_576;
/** Bytes that are written together, and the longest time for which a line waits for others, in milliseconds. */
const WRITE_BYTES = 4_096;
const FLUSH_MILLISECONDS = 200;
const REPORT_MILLISECONDS = 1_000;

const levels: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/**
 * Logger whose volume is bounded and which never waits for its reader. What was dropped is counted and said.
 */
export class BoundedLogger extends DisposableBase implements Logger {
  readonly #output = new sonicBoom.SonicBoom({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: WAITING_BYTES,
    periodicFlush: FLUSH_MILLISECONDS,
  });
  readonly #component: string;
  readonly #level: LogLevel;
  readonly #linesByEvent = new Map<string, number>();
  #dropped = 0;
  #droppedInAll = 0;

  constructor(component: string, level: LogLevel) {
    super();
    this.#component = component;
    this.#level = level;
    this.#output.on('drop', () => {
      this.#dropped += 1;
    });
    this.#output.on('error', () => {
      // There is nowhere left to report a broken standard output to; it shows in the metrics.
      this.#dropped += 1;
    });
    const timer = setInterval(() => {
      this.#reportDropped();
    }, REPORT_MILLISECONDS);
    timer.unref();
    this.register(
      toDisposable(() => {
        clearInterval(timer);
        this.#output.end();
      }),
    );
  }

  /** Lines that were not written so far. */
  get droppedLines(): number {
    return this.#droppedInAll + this.#dropped;
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (levels.indexOf(level) < levels.indexOf(this.#level)) {
      return;
    }
    const lines = this.#linesByEvent.get(event) ?? 0;
    if (lines >= LINES_PER_EVENT_AND_SECOND) {
      this.#dropped += 1;
      return;
    }
    this.#linesByEvent.set(event, lines + 1);
    this.#write(level, event, fields);
  }

  #reportDropped(): void {
    this.#linesByEvent.clear();
    if (this.#dropped > 0) {
      const lines = this.#dropped;
      this.#droppedInAll += lines;
      this.#dropped = 0;
      this.#write('warn', 'log-lines-dropped', { lines, inAll: this.#droppedInAll });
    }
  }

  #write(level: LogLevel, event: string, fields: LogFields): void {
    const line = formatLogLine(event, { level, component: this.#component, ...fields });
    this.#output.write(`time=${new Date().toISOString()} ${line}\n`);
  }
}
