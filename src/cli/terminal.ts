import { formatFault, type Fault } from '../core/errors/fault.js';
import { exitCodes, type ExitCode } from './exit-code.js';

/** What a command reads and writes besides files; tests pass their own. */
export interface Terminal {
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly readInput: () => Promise<string>;
}

/**
 * Prints every fault on its own line.
 *
 * @param terminal - where to print
 * @param faults - the faults
 * @returns the exit code for invalid input
 */
export function printFaults(terminal: Terminal, faults: readonly Fault[]): ExitCode {
  faults.forEach((fault) => terminal.printError(formatFault(fault)));
  terminal.printError(`${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`);
  return exitCodes.invalidInput;
}
