import { compareText } from '@hickoryhoist/base/common/compareText.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone maps similar texts to similar values.
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  return (value ^ (value >>> 13)) >>> 0;
}

const HASH_VALUE_COUNT = 2 ** 32;
/** Added to a hash so that its quotient lies strictly between 0 and 1 and has a finite logarithm. */
const HALF_STEP = 0.5;

/** A node that resources can be assigned to. */
export interface Candidate {
  readonly id: string;
  /** Relative share of the resources. */
  readonly weight: number;
}

/**
 * Ranks the candidates for a resource in order of preference (weighted rendezvous hashing). When a candidate
 * leaves, only its resources move.
 */
export function rankByRendezvous(resource: string, candidates: readonly Candidate[]): readonly string[] {
  return candidates
    .map(({ id, weight }) => {
      const uniform = (hash(`${id}\n${resource}`) + HALF_STEP) / HASH_VALUE_COUNT;
      return { id, score: -weight / Math.log(uniform) };
    })
    .sort((left, right) => right.score - left.score || compareText(left.id, right.id))
    .map(({ id }) => id);
}
