import type { AttemptResult } from './serverTransport.js';

/** Whether an attempt is still without result after a time. */
export async function isPendingAfter(
  attempt: Promise<AttemptResult>,
  milliseconds: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<true>((resolve) => {
    timer = setTimeout(() => {
      resolve(true);
    }, milliseconds);
  });
  const isPending = await Promise.race([attempt.then(() => false), limit]);
  clearTimeout(timer);
  return isPending;
}

/** The first of two attempts that was answered or refused; the first attempt when neither was. */
export async function firstUseful(
  first: Promise<AttemptResult>,
  second: Promise<AttemptResult>,
): Promise<AttemptResult> {
  const isUseful = ({ kind }: AttemptResult): boolean => kind === 'answered' || kind === 'refused';
  const earlier = await Promise.race([first, second]);
  if (isUseful(earlier)) {
    return earlier;
  }
  const both = await Promise.all([first, second]);
  return both.find(isUseful) ?? both[0];
}
