import { once } from 'node:events';
import { BoundedLogger } from '../../boundedLogger.js';

/**
 * Logs a burst of lines while nothing reads standard output, reports the counts on standard error, and exits
 * after the test has written to standard input.
 */
const EVENTS = 40;
const LINES_PER_EVENT = 2_000;

const logger = new BoundedLogger('burst', 'info');
for (let line = 0; line < LINES_PER_EVENT; line += 1) {
  for (let event = 0; event < EVENTS; event += 1) {
    logger.log('info', `event-${event.toString()}`, { line, text: 'x'.repeat(200) });
  }
}
process.stderr.write(
  `logged ${(EVENTS * LINES_PER_EVENT).toString()} dropped ${logger.droppedLines.toString()}\n`,
);
await once(process.stdin, 'data');
setTimeout(() => {
  logger.dispose();
  process.stdin.destroy();
}, 1_500);
