import { readdir, readFile } from 'node:fs/promises';
import { loadConfiguration } from '../../../src/core/configuration/load-configuration.js';
import type { Configuration } from '../../../src/core/model/configuration.js';
import { valueOf } from '../../results.js';

/**
 * Reads the files of a set.
 *
 * @param directory - path below the root of the repository
 * @returns texts by file name
 */
export async function readSet(directory: string): Promise<ReadonlyMap<string, string>> {
  const names = (await readdir(directory)).filter((name) => name.endsWith('.toml'));
  const texts = await Promise.all(names.map((name) => readFile(`${directory}/${name}`, 'utf8')));
  return new Map(names.map((name, index) => [name, texts[index] ?? '']));
}

/**
 * Loads a set that is expected to be valid.
 *
 * @param directory - path below the root of the repository
 * @returns the configuration
 */
export async function loadSet(directory: string): Promise<Configuration> {
  return valueOf(loadConfiguration(await readSet(directory)));
}
