const UUID_VERSION_7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL = 16;

/** Maximum length of an idempotency key, in characters. */
export const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 128;

/** Reads the time in a version 7 UUID, in milliseconds since 1970. @returns undefined for other keys. */
export function idempotencyKeyTime(idempotencyKey: string): number | undefined {
  const match = UUID_VERSION_7_PATTERN.exec(idempotencyKey);
  return match === null ? undefined : Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, HEXADECIMAL);
}
