import createXxhash, { type XXHashAPI } from 'xxhash-wasm';

/** Hash of a key: 16 hexadecimal digits. Keys themselves never leave the request. */
export type KeyHash = string;

/** Hashes keys with xxhash64 and maps hashes to slices. */
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

/** Slice of a key hash. Uses the upper 32 bits so that the lower ones stay free for other divisions. */
export function sliceOf(keyHash: KeyHash, sliceCount: number): number {
  return Number.parseInt(keyHash.slice(0, 8), 16) % sliceCount;
}

/** Score for rendezvous hashing: the candidate with the highest score wins. */
export function rendezvousScore(hasher: KeyHasher, subject: string, candidate: string): number {
  return Number.parseInt(hasher.hash(`${subject}|${candidate}`).slice(0, 12), 16);
}
