import { InvariantError } from '@hickoryhoist/base/common/errors.js';

/**
 * Number of versions of one era, beyond any that a store gives out. The versions of an era are all above those of the
 * former one, and both fit into the integers that a number holds exactly.
 */
const VERSIONS_PER_ERA = 2 ** 40;
/** Eras that fit; a store that states a later one cannot be followed. */
export const MAX_ERA = 2 ** 12;

/**
 * A version of a store that may come back from an older copy of itself and give out versions again. The era counts the
 * returns. What is compared as one number is compared by era first.
 * @throws InvariantError
 */
export function versionOfEra(era: number, version: number): number {
  if (era > MAX_ERA || version >= VERSIONS_PER_ERA) {
    throw new InvariantError(`version ${version.toString()} of era ${era.toString()} is out of range`);
  }
  return era * VERSIONS_PER_ERA + version;
}

/** The era of a version. */
export function eraOf(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** The version as the store states it. */
export function versionInEra(version: number): number {
  return version % VERSIONS_PER_ERA;
}
