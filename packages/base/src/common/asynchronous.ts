import { CancellationError, TimeoutError } from './errors.js';
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

/**
 * Bounds an operation in time. The operation receives a signal that aborts at the limit.
 * @throws TimeoutError when the limit passes before the operation settles.
 */
export async function withTimeout<T>(
  milliseconds: number,
  description: string,
  operation: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      reject(new TimeoutError(`${description} took longer than ${milliseconds.toString()} ms`));
      controller.abort();
    }, milliseconds);
  });
  try {
    return await Promise.race([operation(controller.signal), limit]);
  } finally {
    clearTimeout(timer);
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
