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
    // The length prefixes prevent different entries from producing the same input to the hash.
    const value = entries.get(key) ?? '';
    hash.update(`${key.length}:${key}${value.length}:${value}`);
  });
  return hash.digest('hex');
}
