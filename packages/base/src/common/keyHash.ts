import createXxhash, { type XXHashAPI } from 'xxhash-wasm';

/** Hash of a key as 16 hexadecimal digits. The key itself never leaves its request. */
export type KeyHash = string;

/** Hashes keys with xxHash64. */
export class KeyHasher {
  readonly #xxhash: XXHashAPI;

  private constructor(xxhash: XXHashAPI) {
    this.#xxhash = xxhash;
  }

  static async create(): Promise<KeyHasher> {
    return new KeyHasher(await createXxhash());
  }

  hash(key: string): KeyHash {
    return this.#xxhash.h64ToString(key);
  }
}

/** Returns the slice of a key hash. Uses the upper 32 bits, which leaves the lower ones for other partitionings. */
export function sliceOf(keyHash: KeyHash, sliceCount: number): number {
  return Number.parseInt(keyHash.slice(0, 8), 16) % sliceCount;
}

/** Returns the score for rendezvous hashing; the candidate with the highest score is selected. */
export function rendezvousScore(hasher: KeyHasher, subject: string, candidate: string): number {
  return Number.parseInt(hasher.hash(`${subject}|${candidate}`).slice(0, 12), 16);
}
