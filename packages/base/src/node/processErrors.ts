import type { Logger } from '../common/logger.js';

/**
 * Logs errors that nothing has caught and keeps the process running: an unexpected message of one peer must not end the
 * requests of all callers.
 */
export function logProcessErrors(logger: Logger): void {
  process.on('uncaughtException', (error) => {
    logger.log('error', 'uncaught-exception', { reason: error.stack ?? error.message });
  });
  process.on('unhandledRejection', (error) => {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    logger.log('error', 'unhandled-rejection', { reason });
  });
}
