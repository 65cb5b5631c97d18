import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import type { Fault } from '../errors/fault.js';

/**
 * Parses TOML text.
 *
 * @param text - the text
 * @param source - file name for faults
 * @returns the root table, or the fault with its line and column
 */
export function parseToml(
  text: string,
  source: string,
): Result<Readonly<Record<string, unknown>>, readonly Fault[]> {
  try {
    return ok(parse(text, { unsafeKeyBehaviour: 'throw' }));
  } catch (error) {
    if (!(error instanceof Error)) {
      throw error;
    }
    const place = error instanceof TomlError ? `line ${error.line}, column ${error.column}` : '';
    // The message of TomlError continues with an excerpt of the line, which may contain a secret.
    const reason = (error.message.split('\n')[0] ?? '').replace(/^Invalid TOML document: /, '');
    return err([{ code: 'tomlMalformed', details: { reason }, source, place }]);
  }
}
