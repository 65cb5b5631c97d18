import { randomBytes } from 'node:crypto';
import { command, flag } from 'cmd-ts';
import { generateKey, hashKey, MIN_KEY_CHARACTERS } from '../core/configuration/key-hash.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { printFaults, type Terminal } from './terminal.js';

async function printHashOfInput(terminal: Terminal): Promise<ExitCode> {
  const input = await terminal.readInput();
  const key = input.replace(/\r?\n$/, '');
  const place = { source: 'standard input', place: '' };
  if (key.length < MIN_KEY_CHARACTERS) {
    const details = { found: key.length, expected: MIN_KEY_CHARACTERS };
    return printFaults(terminal, [{ code: 'keyTooShort', details, ...place }]);
  }
  // Other characters are not allowed in the HTTP header `authorization: Bearer KEY`.
  if (!/^[\x21-\x7e]+$/.test(key)) {
    const details = {
      found: 'a key with spaces, control characters or non-ASCII characters',
      expected: 'visible ASCII characters without spaces',
    };
    return printFaults(terminal, [{ code: 'valueInvalid', details, ...place }]);
  }
  terminal.print(hashKey(key));
  return exitCodes.success;
}

/**
 * Builds the command `hash-key`.
 *
 * @param terminal - input and output of the command
 * @returns the command
 */
export function hashKeyCommand(terminal: Terminal) {
  return command({
    name: 'hash-key',
    description: 'Print the hash of a key read from standard input, for key_hashes of an account.',
    args: {
      generate: flag({
        long: 'generate',
        description: 'generate a new key and print it with its hash',
      }),
    },
    handler: async ({ generate }): Promise<ExitCode> => {
      if (!generate) {
        return printHashOfInput(terminal);
      }
      const key = generateKey((size) => randomBytes(size));
      terminal.print(`key:  ${key}`);
      terminal.print(`hash: ${hashKey(key)}`);
      return exitCodes.success;
    },
  });
}
