import type { CodeName } from '../errors/registry.js';
import type { Outcome } from './call.js';

const MIN_SERVER_ERROR = 500;

/**
 * Reads the result code of an outcome.
 *
 * @param outcome - what became of a call
 * @returns its code; an answer of the backend server counts as `ok` whatever its status
 */
export function codeOf(outcome: Outcome): CodeName {
  return outcome.kind === 'answered' ? 'ok' : outcome.code;
}

/**
 * Tells whether a call succeeded.
 *
 * @param outcome - what became of the call
 * @returns whether a whole answer came that is no server error
 */
export function hasSucceeded(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status < MIN_SERVER_ERROR;
}
