import { mkdir, rename, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { command, option, positional, string } from 'cmd-ts';
import { ResultAsync } from 'neverthrow';
import { bundleDocument, type Bundle } from '../core/configuration/bundle.js';
import { toDocument } from '../core/configuration/document.js';
import type { Fault } from '../core/errors/fault.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { loadFileSet } from './file-set.js';
import { printFaults, type Terminal } from './terminal.js';

const MANIFEST_FILE = 'manifest.json';
const PARTS_DIRECTORY = 'parts';

async function writeFiles(out: string, bundle: Bundle): Promise<Bundle> {
  await mkdir(join(out, PARTS_DIRECTORY), { recursive: true });
  await Promise.all(
    [...bundle.parts].map(([digest, text]) =>
      writeFile(join(out, PARTS_DIRECTORY, `${digest}.json`), text),
    ),
  );
  // The manifest is renamed into place after the parts, so that it never names a missing part.
  const manifest = join(out, MANIFEST_FILE);
  await writeFile(`${manifest}.tmp`, bundle.manifestText);
  await rename(`${manifest}.tmp`, manifest);
  return bundle;
}

function writeBundle(out: string, bundle: Bundle): ResultAsync<Bundle, readonly Fault[]> {
  return ResultAsync.fromPromise(writeFiles(out, bundle), (error): readonly Fault[] => {
    const reason = error instanceof Error ? error.message : String(error);
    return [{ code: 'outputFailed', details: { file: out, reason }, source: out, place: '' }];
  });
}

/**
 * Builds the command `bundle DIR --out DIR`.
 *
 * @param terminal - output of the command
 * @returns the command
 */
export function bundleCommand(terminal: Terminal) {
  return command({
    name: 'bundle',
    description: 'Check a file set and write the values for the configuration service.',
    args: {
      directory: positional({ type: string, displayName: 'DIR' }),
      out: option({
        type: string,
        long: 'out',
        description: 'directory for manifest.json and parts/DIGEST.json',
      }),
    },
    handler: ({ directory, out }): Promise<ExitCode> =>
      loadFileSet(directory)
        .andThen((configuration) => bundleDocument(toDocument(configuration)))
        .andThen((bundle) => writeBundle(out, bundle))
        .match<ExitCode>(
          ({ manifest, parts }) => {
            terminal.print(
              `${out}: revision ${manifest.version} in ${parts.size} ${parts.size === 1 ? 'part' : 'parts'}, digest ${manifest.digest}; publish the parts before the manifest`,
            );
            return exitCodes.success;
          },
          (faults) => printFaults(terminal, faults),
        ),
  });
}
