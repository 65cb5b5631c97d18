import { createHash } from 'node:crypto';

function computeWeight(key: string, name: string): Buffer {
  // The length prevents equal digests for different pairs with the same concatenation.
  return createHash('sha256').update(`${key.length}:${key}${name}`).digest();
}

/**
 * Ranks names for a key by rendezvous hashing. All nodes compute the same order without
 * communication, and adding or removing a name does not change the order of the others.
 *
 * @param key - key to place, for example the name of an account
 * @param names - candidates in any order
 * @returns the names without duplicates, highest weight first
 */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
  return [...new Set(names)]
    .map((name) => ({ name, weight: computeWeight(key, name) }))
    .sort((left, right) => Buffer.compare(right.weight, left.weight))
    .map(({ name }) => name);
}
