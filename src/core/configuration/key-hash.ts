import { createHash } from 'node:crypto';

/** Domain separation: no published hash equals a hash of the same text made for another purpose. */
const HASH_DOMAIN = 'almondhoist key 1:';

/** Shorter keys can be guessed from their published hash. */
export const MIN_KEY_CHARACTERS = 24;

const KEY_PREFIX = 'ah_';
/** 24 bytes give 32 characters of base64url and 192 bits of randomness. */
const KEY_RANDOM_BYTES = 24;

/**
 * Computes the hash under which a key is published.
 *
 * @param key - the key as presented by callers
 * @returns SHA-256 in hexadecimal
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(HASH_DOMAIN).update(key).digest('hex');
}

/**
 * Generates a new key.
 *
 * @param randomBytes - cryptographically secure source of random bytes
 * @returns `ah_` followed by 32 URL-safe characters
 */
export function generateKey(randomBytes: (size: number) => Uint8Array): string {
  return `${KEY_PREFIX}${Buffer.from(randomBytes(KEY_RANDOM_BYTES)).toString('base64url')}`;
}
