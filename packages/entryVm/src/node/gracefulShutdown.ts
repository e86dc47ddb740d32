import { delay, waitForPendingIo } from '@hickoryhoist/base/common/asynchronous.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { CallerServer } from './callerServer.js';

/** Time for which the port stays open after the stop signal; the load balancer notices within 2 to 3 s. */
const BALANCER_REACTION_MILLISECONDS = 3_300;
/** Margin between the end of the shutdown and the time at which the process is killed. */
const STOP_RESERVE_MILLISECONDS = 300;
const STOP_POLL_MILLISECONDS = 50;
/** Interval at which a late process checks whether its last responses are written. */
const LATE_POLL_MILLISECONDS = 5;
/** Time before the end of the shutdown by which the last response must be written: two polls. */
const LAST_RESPONSE_MILLISECONDS = 2 * STOP_POLL_MILLISECONDS;
/** Part of the reserve that late responses may not use, so that the process ends by itself. */
const EXIT_MILLISECONDS = 50;

export interface ShutdownOptions {
  readonly callerServer: Pick<CallerServer, 'beginStop' | 'stopAccepting' | 'inFlight'>;
  /** Time after which the process is killed, in milliseconds. */
  readonly graceMilliseconds: number;
  /** Gives up the roles of this process. Waits for the store. */
  readonly giveUpRoles: () => Promise<void>;
  readonly logger: Logger;
}

/** Completes the requests in flight, while callers are served until the load balancer has taken notice. */
export async function shutDownGracefully({
  callerServer,
  graceMilliseconds,
  giveUpRoles,
  logger,
}: ShutdownOptions): Promise<void> {
  const startedAt = performance.now();
  logger.log('info', 'stop-started', { inFlight: callerServer.inFlight });
  const stopDeadline = startedAt + graceMilliseconds - STOP_RESERVE_MILLISECONDS;
  callerServer.beginStop(stopDeadline - LAST_RESPONSE_MILLISECONDS);
  // Callers are served in the meantime, also while the store is down.
  const resignation = giveUpRoles();
  await delay(Math.min(BALANCER_REACTION_MILLISECONDS, graceMilliseconds / 2));
  // Callers reuse open connections, so a busy process would not become idle before the port is closed.
  callerServer.stopAccepting();
  await Promise.race([resignation, delay(Math.max(0, stopDeadline - performance.now()))]);
  while (performance.now() < stopDeadline && callerServer.inFlight > 0) {
    await delay(STOP_POLL_MILLISECONDS);
  }
  await finishLateRequests(callerServer, startedAt + graceMilliseconds - EXIT_MILLISECONDS);
  logger.log('info', 'stopped', {
    inFlight: callerServer.inFlight,
    milliseconds: Math.round(performance.now() - startedAt),
  });
}

/**
 * Waits for requests whose deadline has passed without an outcome. Load pattern: a process that gets little
 * processor time reaches the end of its shutdown before it has read responses that servers have sent.
 */
async function finishLateRequests(
  callerServer: Pick<CallerServer, 'inFlight'>,
  until: number,
): Promise<void> {
  while (callerServer.inFlight > 0 && performance.now() < until) {
    await waitForPendingIo();
    await delay(LATE_POLL_MILLISECONDS);
  }
}
