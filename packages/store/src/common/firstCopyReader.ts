import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { ListedChanges } from './tableCopy.js';
import type { NeighbourTables } from './neighbourTables.js';

/**
 * Delay before another neighbour is asked for the first copy of a table, in milliseconds: it may have none yet either.
 * It doubles with each attempt up to the maximum, for neighbours that read a slow store.
 */
const RETRY_MILLISECONDS = 50;
const MAX_RETRY_MILLISECONDS = 300;
/**
 * Time after which a neighbour that has not responded is taken for one without power, in milliseconds. A whole table
 * takes about half of it over the slowest link.
 */
const MAX_RESPONSE_MILLISECONDS = 250;

/** What follows an attempt to read the first copy of a table from a neighbour. */
export type FirstCopyStep =
  | ListedChanges
  | { readonly kind: 'retry'; readonly afterMilliseconds: number }
  | { readonly kind: 'read-store' };

/**
 * Reads the first copy of a table from the neighbours of a process, and tells when to read it from the store instead.
 * Load pattern: hundreds of processes start at the same time, and a few of them read the store, which may take long. So
 * neighbours that respond without a copy are asked twice. When all machines return after a loss of power, the neighbours
 * of those that are back first do not respond at all: then the store is read at once, or the first ones would not serve
 * until the last ones are back.
 */
export class FirstCopyReader {
  readonly #table: string;
  readonly #neighbours: NeighbourTables;
  #attempts = 0;
  /** Whether all neighbours have been asked once. */
  #haveAllBeenAsked = false;

  constructor(table: string, neighbours: NeighbourTables) {
    this.#table = table;
    this.#neighbours = neighbours;
  }

  /** Asks the next neighbour. Never rejects. */
  async readNext(): Promise<FirstCopyStep> {
    const silence = new AbortController();
    const result = await Promise.race([
      this.#neighbours.readChanges(this.#table, 0, this.#attempts),
      delay(MAX_RESPONSE_MILLISECONDS, silence.signal).then(() => ({ kind: 'silent' as const })),
    ]);
    silence.abort();
    this.#attempts += 1;
    switch (result.kind) {
      case 'changes':
        return result;
      case 'silent':
        return { kind: 'read-store' };
      case 'unavailable':
      case 'incomplete':
        return {
          kind: 'retry',
          afterMilliseconds: Math.min(RETRY_MILLISECONDS * 2 ** (this.#attempts - 1), MAX_RETRY_MILLISECONDS),
        };
      case 'use-store': {
        if (this.#haveAllBeenAsked) {
          return { kind: 'read-store' };
        }
        this.#haveAllBeenAsked = true;
        return { kind: 'retry', afterMilliseconds: 0 };
      }
    }
  }
}
