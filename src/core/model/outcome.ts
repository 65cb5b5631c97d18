import type { CodeName } from '../errors/registry.js';
import type { Outcome } from './call.js';

const MIN_SERVER_ERROR = 500;

/**
 * Returns the result code of an outcome.
 *
 * @param outcome - outcome of a call
 * @returns its code; any answer of the backend server has the code `ok`, whatever its status
 */
export function codeOf(outcome: Outcome): CodeName {
  return outcome.kind === 'answered' ? 'ok' : outcome.code;
}

/**
 * Checks whether a call succeeded.
 *
 * @param outcome - outcome of the call
 * @returns true for a complete answer with a status below 500
 */
export function hasSucceeded(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status < MIN_SERVER_ERROR;
}
