import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes what was sent, answered and run to a file, one line for each event. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the record was opened. */
  now() {
    return performance.now() - this.#startedAt;
  }

  write(...words) {
    appendFileSync(this.#path, `${(this.now() / 1000).toFixed(3).padStart(8)} s  ${words.join(' ')}\n`);
  }
}

export function wait(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** The case could not be run; this says nothing about the rule. */
export class CannotRunError extends Error {}

export async function waitFor(description, condition, timeoutMilliseconds = 20_000) {
  const endsAt = performance.now() + timeoutMilliseconds;
  for (;;) {
    const value = await condition();
    if (value) {
      return value;
    }
    if (performance.now() > endsAt) {
      throw new CannotRunError(`timed out waiting until ${description}`);
    }
    await wait(20);
  }
}
