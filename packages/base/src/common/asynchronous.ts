import { CancellationError } from './errors.js';
import { type Disposable, toDisposable } from './disposable.js';

/**
 * Waits for a number of milliseconds.
 * @throws CancellationError when the signal aborts first.
 */
export async function delay(milliseconds: number, signal?: AbortSignal): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    if (signal?.aborted === true) {
      reject(new CancellationError('the wait was cancelled'));
      return;
    }
    const onAbort = (): void => {
      clearTimeout(timer);
      reject(new CancellationError('the wait was cancelled'));
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    }, milliseconds);
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

/** Turns of the event loop to its end: the rest of the present one, one that reads, and one that closes. */
const TURNS_TO_CLOSE = 3;

/**
 * Waits until the event loop has read what has arrived and closed what has ended. In a process that is late, timers
 * run before input that has been waiting for longer.
 */
export async function waitForPendingIo(): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_CLOSE; turn += 1) {
    await new Promise(setImmediate);
  }
}

/** Runs an operation again and again with a pause between the end of one run and the next start. */
export function repeat(
  pauseMilliseconds: () => number,
  operation: () => Promise<void> | void,
  onError: (error: unknown) => void,
): Disposable {
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  const runOnce = async (): Promise<void> => {
    try {
      await operation();
    } catch (error) {
      onError(error);
    }
    schedule();
  };
  const schedule = (): void => {
    if (isStopped) {
      return;
    }
    timer = setTimeout(() => void runOnce(), pauseMilliseconds());
  };
  schedule();
  return toDisposable(() => {
    isStopped = true;
    clearTimeout(timer);
  });
}
