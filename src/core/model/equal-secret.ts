import { timingSafeEqual } from 'node:crypto';

/**
 * Compares two authentication codes in a time that does not tell how much of them is equal.
 *
 * @param left - one text
 * @param right - the other text
 * @returns whether they are equal
 */
export function isEqualSecret(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
