import { isTable } from '../toml/read-table.js';

/**
 * Serializes a value as JSON with sorted keys, so that equal values have equal digests.
 *
 * @param value - a JSON value
 * @returns the JSON text, without spaces
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) =>
    isTable(item)
      ? Object.fromEntries(Object.entries(item).sort(([left], [right]) => (left < right ? -1 : 1)))
      : item,
  );
}

/**
 * Parses JSON text from an untrusted source.
 *
 * @param text - the text
 * @returns the value, or undefined when the text is not JSON
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
