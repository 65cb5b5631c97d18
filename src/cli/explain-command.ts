import { readFile } from 'node:fs/promises';
import { command, positional, restPositionals, string } from 'cmd-ts';
import { ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import { explain, type Explanation } from '../core/explain/explain.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { printFaults, type Terminal } from './terminal.js';

function createUnreadableFault(file: string, error: unknown): Fault {
  const reason = error instanceof Error ? error.message : String(error);
  return { code: 'fileUnreadable', details: { file, reason }, source: file, place: '' };
}

function readLogs(
  files: readonly string[],
  terminal: Terminal,
): ResultAsync<readonly string[], readonly Fault[]> {
  if (files.length === 0) {
    return ResultAsync.fromPromise(terminal.readInput(), (error) => [
      createUnreadableFault('standard input', error),
    ]).map((text) => [text]);
  }
  return ResultAsync.combineWithAllErrors(
    files.map((file) =>
      ResultAsync.fromPromise(readFile(file, 'utf8'), (error) =>
        createUnreadableFault(file, error),
      ),
    ),
  );
}

function formatSkipped(skipped: number): string {
  return `${skipped} ${skipped === 1 ? 'line' : 'lines'} skipped: not JSON or not a log line of almondhoist`;
}

function printExplanation(terminal: Terminal, { text, skipped }: Explanation): ExitCode {
  text.forEach((line) => terminal.print(line));
  if (skipped > 0) terminal.print(formatSkipped(skipped));
  return exitCodes.success;
}

/**
 * Builds the command `explain REQUEST-ID [FILES...]`.
 *
 * @param terminal - input and output of the command
 * @returns the command
 */
export function explainCommand(terminal: Terminal) {
  return command({
    name: 'explain',
    description: 'Explain how a request was handled and why, from the logs of the nodes.',
    args: {
      requestId: positional({ type: string, displayName: 'REQUEST-ID' }),
      files: restPositionals({
        type: string,
        displayName: 'FILES',
        description: 'log files of the nodes; default: standard input',
      }),
    },
    handler: ({ requestId, files }): Promise<ExitCode> =>
      readLogs(files, terminal)
        .andThen((texts) =>
          explain(texts, requestId).mapErr(({ read, skipped }): readonly Fault[] => {
            const source = files.length === 0 ? 'standard input' : files.join(', ');
            const details = { request: requestId, read, skipped };
            return [{ code: 'requestNotLogged', details, source, place: '' }];
          }),
        )
        .match<ExitCode>(
          (explanation) => printExplanation(terminal, explanation),
          (faults) => printFaults(terminal, faults),
        ),
  });
}
