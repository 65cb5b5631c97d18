import { formatFault, type Fault } from '../core/errors/fault.js';
import { exitCodes, type ExitCode } from './exit-code.js';

/** Standard input, output and error of a command; tests pass their own. */
export interface Terminal {
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly readInput: () => Promise<string>;
}

/**
 * Prints each fault on a line of its own, and then their number.
 *
 * @param terminal - output for the faults
 * @param faults - the faults
 * @returns the exit code
 */
export function printFaults(terminal: Terminal, faults: readonly Fault[]): ExitCode {
  faults.forEach((fault) => terminal.printError(formatFault(fault)));
  terminal.printError(`${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`);
  // A failed write does not mean that the input is invalid.
  return faults.some(({ code }) => code === 'outputFailed')
    ? exitCodes.unexpectedError
    : exitCodes.invalidInput;
}
