import { createHash } from 'node:crypto';

function rendezvousWeight(key: string, name: string): Buffer {
  // The length keeps two different splits of the same text apart.
  return createHash('sha256').update(`${key.length}:${key}${name}`).digest();
}

/**
 * Orders names by their rendezvous weight for a key. When a name joins or leaves, only the
 * keys that ranked it change, and every node computes the same order without talking to others.
 *
 * @param key - what is placed, for example the name of an account
 * @param names - the places to choose from, in any order
 * @returns the names without repeats, highest weight first
 */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
  return [...new Set(names)]
    .map((name) => ({ name, weight: rendezvousWeight(key, name) }))
    .sort((left, right) => Buffer.compare(right.weight, left.weight))
    .map(({ name }) => name);
}
