import assert from 'node:assert/strict';
import type { Result } from 'neverthrow';

/**
 * Takes the value of a result that is expected to be a success.
 *
 * @param result - the result
 * @returns its value
 */
export function valueOf<T, E>(result: Result<T, E>): T {
  return result.match(
    (value) => value,
    (error) => assert.fail(JSON.stringify(error)),
  );
}

/**
 * Takes the error of a result that is expected to be a failure.
 *
 * @param result - the result
 * @returns its error
 */
export function errorOf<T, E>(result: Result<T, E>): E {
  return result.match(
    (value) => assert.fail(JSON.stringify(value)),
    (error) => error,
  );
}
