import { runSafely, subcommands } from 'cmd-ts';
import { formatCodeMessage, getResultCode } from '../core/errors/registry.js';
import { bundleCommand } from './bundle-command.js';
import { checkCommand } from './check-command.js';
import { diffCommand } from './diff-command.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { explainCommand } from './explain-command.js';
import { hashKeyCommand } from './hash-key-command.js';
import { nodeCommand } from './node-command.js';
import { ProcessSignals } from './process-signals.js';
import type { Terminal } from './terminal.js';
import { VERSION } from './version.js';

function buildApplication(terminal: Terminal, signals: ProcessSignals) {
  return subcommands({
    name: 'almondhoist',
    version: VERSION,
    description: 'Overload control layer for service call graphs.',
    cmds: {
      node: nodeCommand(terminal, signals),
      check: checkCommand(terminal),
      bundle: bundleCommand(terminal),
      diff: diffCommand(terminal),
      'hash-key': hashKeyCommand(terminal),
      explain: explainCommand(terminal),
    },
  });
}

/**
 * Runs the command given by the arguments.
 *
 * @param args - arguments after the name of the binary
 * @param terminal - input and output of the command
 * @param signals - signals of the process, which the command `node` handles
 * @returns the exit code
 */
export async function run(
  args: readonly string[],
  terminal: Terminal,
  signals = new ProcessSignals(),
): Promise<ExitCode> {
  try {
    const result = await runSafely(buildApplication(terminal, signals), [...args]);
    if ('value' in result) {
      return await result.value.value;
    }
    const { exitCode, message, into } = result.error.config;
    (into === 'stdout' ? terminal.print : terminal.printError)(message);
    // For a missing command, cmd-ts prints the help text with exit code 0.
    return exitCode === 0 && args.length > 0 ? exitCodes.success : exitCodes.wrongUsage;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    terminal.printError(
      `[${getResultCode('internal').number}] ${formatCodeMessage('internal', { reason })}`,
    );
    return exitCodes.unexpectedError;
  }
}
