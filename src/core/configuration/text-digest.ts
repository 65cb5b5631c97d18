import { createHash } from 'node:crypto';

/**
 * Computes the digest that addresses a published text.
 *
 * @param text - the text
 * @returns SHA-256 in hex over its UTF-8 bytes
 */
export function textDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
