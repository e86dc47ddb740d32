import type { AttemptResult } from './serverTransport.js';

/** Waits for an attempt for at most `milliseconds`. @returns whether it still has no result. */
export async function isPendingAfter(
  attempt: Promise<AttemptResult>,
  milliseconds: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<true>((resolve) => {
    timer = setTimeout(() => {
      resolve(true);
    }, milliseconds);
  });
  const isPending = await Promise.race([attempt.then(() => false), timeout]);
  clearTimeout(timer);
  return isPending;
}

/** Result of the attempt that is answered or refused first; that of the first attempt if neither is. */
export async function firstConclusive(
  first: Promise<AttemptResult>,
  second: Promise<AttemptResult>,
): Promise<AttemptResult> {
  const isConclusive = ({ kind }: AttemptResult): boolean => kind === 'answered' || kind === 'refused';
  const earlier = await Promise.race([first, second]);
  if (isConclusive(earlier)) {
    return earlier;
  }
  const both = await Promise.all([first, second]);
  return both.find(isConclusive) ?? both[0];
}
