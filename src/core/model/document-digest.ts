import { createHash } from 'node:crypto';

/**
 * Computes the digest of a document's entries.
 *
 * @param entries - canonical JSON text by key
 * @returns SHA-256 in hex over the entries sorted by key
 */
export function documentDigest(entries: ReadonlyMap<string, string>): string {
  const hash = createHash('sha256');
  [...entries.keys()].sort().forEach((key) => {
    // Lengths keep two different splits of the same text apart.
    const value = entries.get(key) ?? '';
    hash.update(`${key.length}:${key}${value.length}:${value}`);
  });
  return hash.digest('hex');
}
