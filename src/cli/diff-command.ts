import { command, positional, string } from 'cmd-ts';
import { ResultAsync } from 'neverthrow';
import { describeChanges } from '../core/configuration/diff.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { loadFileSet } from './file-set.js';
import { printFaults, type Terminal } from './terminal.js';

/**
 * Builds the command `diff OLD NEW`.
 *
 * @param terminal - output of the command
 * @returns the command
 */
export function diffCommand(terminal: Terminal) {
  return command({
    name: 'diff',
    description: 'Describe the effects of a change from one file set to another.',
    args: {
      older: positional({ type: string, displayName: 'OLD' }),
      newer: positional({ type: string, displayName: 'NEW' }),
    },
    handler: ({ older, newer }): Promise<ExitCode> =>
      ResultAsync.combineWithAllErrors([loadFileSet(older), loadFileSet(newer)]).match<ExitCode>(
        ([before, after]) => {
          describeChanges(before, after).forEach((line) => terminal.print(line));
          return exitCodes.success;
        },
        (faults) => printFaults(terminal, faults.flat()),
      ),
  });
}
