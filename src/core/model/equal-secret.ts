import { timingSafeEqual } from 'node:crypto';

/**
 * Compares two authentication codes in constant time, so that the duration does not reveal how many
 * leading bytes are equal.
 *
 * @param left - first code
 * @param right - second code
 * @returns whether they are equal
 */
export function isEqualSecret(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
