import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { errAsync, ResultAsync } from 'neverthrow';
import { loadConfiguration } from '../core/configuration/load-configuration.js';
import type { Fault } from '../core/errors/fault.js';
import type { Configuration } from '../core/model/configuration.js';

function createUnreadableFault(file: string, error: unknown): Fault {
  const reason = error instanceof Error ? error.message : String(error);
  return { code: 'fileUnreadable', details: { file, reason }, source: file, place: '' };
}

async function decodeFile(file: string): Promise<readonly [string, string]> {
  return [file, new TextDecoder('utf-8', { fatal: true }).decode(await readFile(file))];
}

function readText(file: string): ResultAsync<readonly [string, string], Fault> {
  return ResultAsync.fromPromise(decodeFile(file), (error) => createUnreadableFault(file, error));
}

/**
 * Reads and checks a directory with a file set of the operators. All files that end in `.toml` belong
 * to the set; subdirectories are ignored.
 *
 * @param directory - path of the directory
 * @returns the configuration, or all faults at once
 */
export function loadFileSet(directory: string): ResultAsync<Configuration, readonly Fault[]> {
  return ResultAsync.fromPromise(readdir(directory), (error): readonly Fault[] => [
    createUnreadableFault(directory, error),
  ])
    .map((names) => names.filter((name) => name.endsWith('.toml')).sort())
    .andThen((names) =>
      names.length === 0
        ? errAsync<(readonly [string, string])[], readonly Fault[]>([
            createUnreadableFault(directory, 'the directory has no file that ends in .toml'),
          ])
        : ResultAsync.combineWithAllErrors(names.map((name) => readText(join(directory, name)))),
    )
    .andThen((files) => loadConfiguration(new Map(files)));
}
