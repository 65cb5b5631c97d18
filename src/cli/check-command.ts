import { command, positional, string } from 'cmd-ts';
import { exitCodes, type ExitCode } from './exit-code.js';
import { loadFileSet } from './file-set.js';
import { printFaults, type Terminal } from './terminal.js';

/**
 * Builds the command `check DIR`.
 *
 * @param terminal - output of the command
 * @returns the command
 */
export function checkCommand(terminal: Terminal) {
  return command({
    name: 'check',
    description: 'Check a file set and print all faults at once.',
    args: { directory: positional({ type: string, displayName: 'DIR' }) },
    handler: ({ directory }): Promise<ExitCode> =>
      loadFileSet(directory).match<ExitCode>(
        ({ revision, zones, services, backendServers, accounts, routes }) => {
          terminal.print(
            `${directory}: revision ${revision} is valid: ${zones.length} availability zones, ${services.length} services, ${backendServers.length} backend servers, ${accounts.length} accounts, ${routes.length} routes`,
          );
          return exitCodes.success;
        },
        (faults) => printFaults(terminal, faults),
      ),
  });
}
