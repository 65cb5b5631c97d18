import { createHash } from 'node:crypto';

/**
 * Computes the digest by which a published text is addressed.
 *
 * @param text - the text
 * @returns SHA-256 of its UTF-8 bytes in hexadecimal
 */
export function textDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
