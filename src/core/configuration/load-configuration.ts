import type { Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { checkSet } from './check-set.js';
import { parseFiles } from './parse-files.js';

/**
 * Reads and checks an operators' file set.
 *
 * @param files - TOML text by file name
 * @returns the configuration, or all faults found
 */
export function loadConfiguration(
  files: ReadonlyMap<string, string>,
): Result<Configuration, readonly Fault[]> {
  const { set, faults } = parseFiles(files);
  return checkSet(set, faults);
}
