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

/** Event loop turns to wait for: the rest of the current one, one that reads input and one that closes connections. */
const EVENT_LOOP_TURNS = 3;

/**
 * Waits until the event loop has processed pending input and closed connections. In a process whose event loop is
 * delayed, due timers run before input that arrived earlier.
 */
export async function waitForPendingIo(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
    await new Promise(setImmediate);
  }
}

/** Runs an operation repeatedly until disposed, with a pause between the end of one run and the start of the next. */
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
